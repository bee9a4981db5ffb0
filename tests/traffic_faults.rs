//! What can go wrong at a target, and what the caller then gets. After each case exactly one end of
//! the request, `ran: no` only if nothing was written, and nothing left behind.

mod traffic_support;

use std::sync::Arc;

use traffic_support::{Bench, End, Fake, Reply, Script, inference, post, settle, token};

/// What a caller must get.
#[derive(Clone, Copy, Debug)]
enum Want {
    /// Every token of the answer, once and in order.
    Whole,
    /// A problem document with this code and `ran`.
    Refused(&'static str, &'static str),
    /// The beginning of the answer and a marked error.
    BrokenOff,
}

/// The kinds of request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    Stream,
    Plain,
    /// A service call that may run twice.
    Lookup,
    /// A service call that may not.
    Reservation,
}

struct Case {
    name: &'static str,
    kind: Kind,
    /// What the targets do with their calls: the first call goes to whichever is chosen.
    calls: Vec<Script>,
    resumes: Vec<Script>,
    want: Want,
    /// Calls that reach targets in all.
    written: usize,
}

const EVENTS: u64 = 12;

fn case(name: &'static str, kind: Kind, calls: Vec<Script>, want: Want, written: usize) -> Case {
    Case { name, kind, calls, resumes: vec![], want, written }
}

impl Case {
    fn resumes(mut self, resumes: Vec<Script>) -> Self {
        self.resumes = resumes;
        self
    }
}

fn cases() -> Vec<Case> {
    use Kind::{Lookup, Plain, Reservation, Stream};
    use Want::{BrokenOff, Refused, Whole};
    let events = || Script::events(EVENTS);
    let twice: Vec<u64> = (0..2 * EVENTS).map(|at| at / 2).collect();
    let half = |end| Script::events(EVENTS / 2).end(end);
    let dies = Script::dies_before_head;
    let no_connection = Script::refuses_connection;
    let failed = |ran| Refused("target-failed", ran);
    vec![
        case("no connection, then another target", Stream, vec![no_connection()], Whole, 1),
        case("no connection, plain", Plain, vec![no_connection()], Whole, 1),
        case("no connection, not idempotent", Reservation, vec![no_connection()], failed("no"), 0),
        case("dies before the first byte", Stream, vec![dies()], Whole, 2),
        case("dies before the first byte, plain", Plain, vec![dies()], Whole, 2),
        case("dies before the first byte, look-up", Lookup, vec![dies()], Whole, 2),
        case("dies, not idempotent", Reservation, vec![dies()], failed("maybe"), 1),
        case("kills two targets", Plain, vec![dies(), dies()], failed("maybe"), 2),
        case("dies after the head", Stream, vec![Script::events(0).end(End::Broken)], Whole, 2),
        case("dies within a plain body", Plain, vec![half(End::Broken)], Whole, 2),
        case("dies mid-stream", Stream, vec![half(End::Broken)], Whole, 2),
        case("no end marker", Stream, vec![events().end(End::Missing)], Whole, 2),
        case("no end marker, plain", Plain, vec![half(End::Missing)], Whole, 2),
        case("goes silent mid-stream", Stream, vec![half(End::Silent)], Whole, 2),
        case("silent before its marker", Stream, vec![events().end(End::Silent)], Whole, 2),
        case("resumed twice", Stream, vec![half(End::Broken)], Whole, 3)
            .resumes(vec![Script::events(EVENTS - 2).end(End::Silent)]),
        case("resumed stream repeats old events", Stream, vec![half(End::Silent)], Whole, 2),
        case("events out of order", Stream, vec![events().offsets(&[0, 2, 1, 3])], Whole, 2),
        case("events twice", Stream, vec![events().offsets(&twice)], Whole, 1),
        case("cannot be resumed", Stream, vec![half(End::Broken)], BrokenOff, 1).resumes(vec![
            no_connection(),
            no_connection(),
            no_connection(),
            no_connection(),
        ]),
        case("answers another request", Stream, vec![events().names("other")], Whole, 2),
        case("answers another, plain", Plain, vec![events().names("other")], Whole, 2),
        case(
            "answers another, reservation",
            Reservation,
            vec![events().names("other")],
            failed("maybe"),
            1,
        ),
        case("refuses with 429", Plain, vec![events().status(429)], Whole, 2),
        case("refuses with 503", Stream, vec![events().status(503)], Whole, 2),
        case(
            "503 to a reservation",
            Reservation,
            vec![events().status(503)],
            Refused("target-busy", "maybe"),
            1,
        ),
        case(
            "never answers, not idempotent",
            Reservation,
            vec![Script::never_answers()],
            Refused("target-silent", "maybe"),
            1,
        ),
    ]
}

fn request(kind: Kind) -> http::Request<axum::body::Body> {
    match kind {
        Kind::Stream => inference(true),
        Kind::Plain => inference(false),
        Kind::Lookup => {
            let mut request = post("/services/adoption/donkeys/7", "");
            *request.method_mut() = http::Method::GET;
            request
        }
        Kind::Reservation => post("/services/adoption/reservations", "{}"),
    }
}

/// Two targets that follow one list of scripts in the order of the calls, whichever gets them.
fn bench(case: &Case) -> Bench {
    let usual = Script::events(EVENTS);
    let fakes: Vec<Arc<Fake>> = ["runner-1", "runner-2"]
        .iter()
        .map(|name| Fake::new(name, &["quill"], &["adoption"], usual.clone()))
        .collect();
    let fakes = Fake::in_common(fakes, case.calls.clone(), case.resumes.clone());
    Bench::new(fakes)
}

#[track_caller]
fn check(case: &Case, reply: &Reply, bench: &Bench) {
    let name = case.name;
    match case.want {
        Want::Whole if case.kind == Kind::Stream => {
            let all: Vec<String> = (0..EVENTS).map(token).collect();
            assert_eq!(reply.tokens(), Some(all), "{name}: {reply:?}");
            assert!(reply.is_closed, "{name}");
        }
        Want::Whole => {
            let all: String = (0..EVENTS).map(token).collect();
            assert_eq!((reply.status, reply.body.as_str()), (200, all.as_str()), "{name}");
        }
        Want::Refused(code, ran) => {
            assert_eq!(reply.field("code"), code, "{name}: {reply:?}");
            assert_eq!(reply.field("ran"), ran, "{name}");
            assert_eq!(reply.headers["fescuebay-ran"], ran, "{name}");
        }
        Want::BrokenOff => {
            assert_eq!(reply.tokens(), None, "{name}: looks whole: {reply:?}");
            assert!(!reply.is_closed, "{name}: the connection ends as if it were whole");
            assert!(reply.body.contains("event: error"), "{name}: {reply:?}");
        }
    }
    assert_eq!(bench.written(), case.written, "{name}: calls written");
    let was_not_run = matches!(case.want, Want::Refused(_, "no"));
    assert!(!was_not_run || bench.written() == 0, "{name}: `ran: no` is not true");
}

#[tokio::test(start_paused = true)]
async fn each_fault_has_one_honest_end() {
    for case in cases() {
        let bench = bench(&case);
        let reply = bench.ask(request(case.kind)).await;
        settle().await;
        check(&case, &reply, &bench);
        bench.check_nothing_left(case.name);
    }
}
