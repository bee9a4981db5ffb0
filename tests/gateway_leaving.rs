//! A router before targets that say in their answers that they leave.

mod gateway_support;

use fescuebay::coordinator::follow::Follower as _;
use fescuebay::gateway::fleet::{Choice, Fleet, Wish};
use fescuebay::ids::Incarnation;
use fescuebay::membership::table::TargetEntry;

use gateway_support::{Act, END, Router, Target, answer, events, on_one_thread, status};

/// The same answer of a target that leaves.
fn leaving(text: &str) -> String {
    text.replacen("Server-Stamp", "Server-Leaving: 1\r\nServer-Stamp", 1)
}

fn ok(body: &str) -> Act {
    Act::Write(answer("200 OK", body))
}

/// A target that says so in its first answer, and one that is used after all others.
async fn two(first: Act) -> (Target, Target, Router) {
    let a = Target::start("a", vec![first, ok("late")]).await;
    let b = Target::start("b", vec![ok("good")]).await;
    let router = Router::start(entries(&a, &b)).await;
    (a, b, router)
}

fn entries(a: &Target, b: &Target) -> Vec<TargetEntry> {
    vec![a.entry("app", &[]), b.last("app", &[])]
}

/// The load: no leader is heard, or one that does not know it and tells its table again.
#[test]
fn a_target_that_said_in_an_answer_that_it_leaves_gets_no_more_requests() {
    let refusal = "HTTP/1.1 503 Full\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nServer-Stamp: s1\r\n\
         Content-Length: 0\r\n\r\n";
    for text in [answer("200 OK", "x"), answer("500 Oops", "x"), refusal.to_owned()] {
        on_one_thread(async move {
            let (a, b, router) = two(Act::Write(leaving(&text))).await;
            for method in ["POST", "GET"] {
                for n in 0..5 {
                    let path = if method == "GET" { "/safe/x" } else { "/unsafe/x" };
                    router.ask(method, path, "", "").await;
                    if n == 2 {
                        router.set(entries(&a, &b));
                    }
                }
            }
            assert_eq!(a.requests(), 1, "{text}");
            assert!(b.requests() >= 9, "{} of the others", b.requests());
            let told = router.shared.usage().leaving;
            assert_eq!(told, [("a".parse().unwrap(), Incarnation(1))], "the leader is told");
            router.set(vec![b.last("app", &[])]);
            router.set(entries(&a, &b));
            router.ask("GET", "/safe/x", "", "").await;
            assert_eq!(a.requests(), 1, "a table without it was heard in between");
        });
    }
}

#[test]
fn a_later_life_and_another_target_at_the_address_get_requests() {
    on_one_thread(async {
        let (a, b, router) = two(Act::Write(leaving(&answer("200 OK", "x")))).await;
        router.ask("POST", "/unsafe/x", "", "").await;
        let later = TargetEntry { incarnation: Incarnation(2), ..a.entry("app", &[]) };
        router.set(vec![later, b.last("app", &[])]);
        router.ask("POST", "/unsafe/x", "", "").await;
        assert_eq!((a.requests(), b.requests()), (2, 0), "its next life");
        let other = TargetEntry { target: "c".parse().unwrap(), ..a.entry("app", &[]) };
        router.set(vec![other, b.last("app", &[])]);
        router.ask("POST", "/unsafe/x", "", "").await;
        assert_eq!((a.requests(), b.requests()), (3, 0), "another target at its address");
    });
}

#[test]
fn the_word_of_an_answer_to_another_request_or_of_another_target_is_not_believed() {
    let foreign = answer("200 OK", "x").replace("{id}", "another");
    let misdirected = answer("421 Not Me", "");
    for text in [foreign, misdirected] {
        on_one_thread(async move {
            let (a, _b, router) = two(Act::Write(leaving(&text))).await;
            router.ask("POST", "/unsafe/x", "", "").await;
            assert_eq!(router.shared.usage().leaving, [], "{text}");
            assert_eq!(a.requests(), 1);
        });
    }
}

/// The load: a stream is under way at a target that leaves, and another one breaks there.
#[test]
fn a_stream_of_a_target_that_leaves_ends_as_it_would_and_one_that_breaks_goes_on_elsewhere() {
    on_one_thread(async {
        let whole = leaving(&events(1, 4)) + END;
        let llm = Target::start("a", vec![Act::Write(whole)]).await;
        let router = Router::start(vec![llm.entry("llm", &["m1"])]).await;
        let answer = router.ask("POST", "/contract/x", "Model: m1\r\n", "b").await;
        assert!(answer.contains("e4") && answer.ends_with(END), "{answer}");
    });
    on_one_thread(async {
        let broken = Act::WriteAndReset(leaving(&events(1, 2)));
        let a = Target::start("a", vec![broken]).await;
        let rest = events(3, 4) + END;
        let b = Target::start("b", vec![Act::Write(rest)]).await;
        let router = Router::start(vec![a.entry("llm", &["m1"]), b.last("llm", &["m1"])]).await;
        let answer = router.ask("POST", "/contract/x", "Model: m1\r\n", "b").await;
        assert!(answer.contains("e2") && answer.contains("e4"), "{answer}");
        assert_eq!((a.requests(), b.requests()), (1, 1));
    });
}

#[test]
fn a_service_whose_only_target_leaves_refuses_at_once() {
    on_one_thread(async {
        let a = Target::start("a", vec![Act::Write(leaving(&answer("200 OK", "x")))]).await;
        let router = Router::start(vec![a.entry("app", &[])]).await;
        assert_eq!(status(&router.ask("POST", "/unsafe/x", "", "").await), 200);
        let refused = router.ask("POST", "/unsafe/x", "Deadline-Ms: 900\r\n", "").await;
        assert_eq!(status(&refused), 503, "{refused}");
        assert_eq!(a.requests(), 1);
    });
}

/// The load: a connection that opens late, while another answer says that the target leaves.
#[test]
fn what_was_chosen_before_a_target_said_that_it_leaves_is_not_sent_there() {
    on_one_thread(async {
        let a = Target::start("a", vec![ok("x")]).await;
        let service = "app".parse().unwrap();
        let wish = Wish { service: &service, model: None, prompt: None, avoid: &[], salt: 1 };
        let (target, life) = ("a".parse().unwrap(), Incarnation(1));
        let mut fleet = Fleet::new("z".parse().unwrap());
        fleet.set_entries(&[a.entry("app", &[])]);
        assert_eq!(fleet.choose(0, &wish), Choice::Target(0));
        assert!(fleet.may_send(0, &target, life));
        assert!(fleet.leaves(&target, life), "it is new");
        assert!(!fleet.may_send(0, &target, life));
        assert!(!fleet.leaves(&target, life), "it is known");
        let left = fescuebay::membership::table::Standing::Leaving;
        let mut fleet = Fleet::new("z".parse().unwrap());
        fleet.set_entries(&[TargetEntry { standing: left, ..a.entry("app", &[]) }]);
        assert!(!fleet.may_send(0, &target, life), "the table says so");
    });
}
