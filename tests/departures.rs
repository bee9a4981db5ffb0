//! Targets that say that they leave while voters are lost, with the processes of a fleet.

mod common;
mod gateway_support;
mod roles_support;

use std::net::SocketAddr;

use common::process::until;
use gateway_support::{Action, ScriptedTarget, answer, on_one_thread, status};
use roles_support::{Net, Vm, ask, call};

const DOCUMENT: &str = r#"{"version":5,"routes":[
 {"name":"look","host":"h.example","pathPrefix":"/look/","kind":"safe","timeoutMs":9000,
  "targetLatencyMs":300,"priority":2,"service":"app","maxAttempts":1}],
 "services":[{"name":"app"}]}"#;
const CONFIG: &str = "/api/config";
const TARGET: &str = "/api/instances/app-1";

/// Three voters, a router and a target that all of them know.
struct Fleet {
    voters: Vec<Vm>,
    router: Vm,
    target: ScriptedTarget,
}

impl Fleet {
    async fn start(name: &str) -> Self {
        let net = Net::new(name, 3);
        let mut voters: Vec<Vm> = (0..3).map(|number| net.voter(number)).collect();
        voters.iter_mut().for_each(Vm::start);
        let first = voters[0].control();
        until("a first document", async || call(first, "PUT", CONFIG, DOCUMENT).await == 200).await;
        let target =
            ScriptedTarget::start("app-1", vec![Action::Write(answer("200 OK", "done"))]).await;
        let mut router = net.router(10);
        router.start();
        let fleet = Self { voters, router, target };
        let mut sequence = 0;
        until("the target serves", async || {
            sequence += 1;
            let voter = fleet.voters[0].control();
            call(voter, "PUT", TARGET, &fleet.word("ready", sequence)).await;
            fleet.request().await == 200
        })
        .await;
        fleet
    }

    /// What the target says of itself.
    fn word(&self, state: &str, sequence: u64) -> String {
        format!(
            r#"{{"service":"app","address":"{}","zone":"z","version":"v1",
        "slots":64,"state":"{state}",
            "sequence":{sequence},"born":7}}"#,
            self.target.address
        )
    }

    /// The status that a caller gets.
    async fn request(&self) -> u16 {
        let head = "Attempt-Id: r1\r\nDeadline-Ms: 400\r\n";
        status(&ask(self.router.callers(), "GET", "/look/x", head, "").await)
    }

    /// The voter that leads: it is named in the answer to an announcement.
    async fn leader(&self, sequence: u64) -> usize {
        let mut leader = None;
        until("a leader is named", async || {
            let word = self.word("ready", sequence);
            let found = ask(self.voters[0].control(), "PUT", TARGET, "", &word).await;
            let named = |vm: &Vm| found.contains(&format!("\"{}\"", vm.control()));
            leader = self.voters.iter().position(named);
            leader.is_some()
        })
        .await;
        leader.unwrap()
    }

    /// Waits until a document of this version is taken: the voters have a leader again.
    async fn is_led(&self, voter: usize, version: u64) {
        let to = self.voters[voter].control();
        let document = DOCUMENT.replace(r#""version":5"#, &format!(r#""version":{version}"#));
        let put = async || call(to, "PUT", CONFIG, &document).await == 200;
        until("a document is taken", put).await;
    }

    /// A late announcement arrives at `voter`; the router must send nothing for it.
    async fn stays_gone(&self, voter: usize, sequence: u64) {
        let to: SocketAddr = self.voters[voter].control();
        let late = self.word("ready", sequence);
        let taken = async || call(to, "PUT", TARGET, &late).await == 200;
        until("a late announcement arrives", taken).await;
        let before = self.target.requests();
        // The router hears of the new leader's table within a question for news.
        for _ in 0..30 {
            assert_ne!(self.request().await, 200, "a target that left served a request");
        }
        assert_eq!(self.target.requests(), before);
    }
}

#[test]
fn a_target_that_left_gets_no_request_after_its_leader_was_killed() {
    on_one_thread(async {
        let mut fleet = Fleet::start("departures-leader").await;
        let leader = fleet.leader(1_000).await;
        let to = fleet.voters[leader].control();
        let leaves = async || call(to, "PUT", TARGET, &fleet.word("draining", 2_000)).await == 200;
        until("the leaving is acknowledged", leaves).await;
        fleet.voters[leader].signal("KILL");
        let other = (leader + 1) % 3;
        fleet.is_led(other, 6).await;
        fleet.stays_gone(other, 1_500).await;
        fleet.voters[leader].exit_code().await;
    });
}

#[test]
fn a_target_that_left_gets_no_request_after_all_voters_were_killed() {
    on_one_thread(async {
        let mut fleet = Fleet::start("departures-all").await;
        let leader = fleet.leader(1_000).await;
        let to = fleet.voters[leader].control();
        let leaves = async || call(to, "DELETE", TARGET, "").await == 200;
        until("the leaving is acknowledged", leaves).await;
        for voter in &mut fleet.voters {
            voter.signal("KILL");
            voter.exit_code().await;
            voter.start();
        }
        fleet.is_led(0, 6).await;
        fleet.stays_gone(0, 1_500).await;
    });
}

/// The leader still holds its lease, and nobody else hears it.
#[test]
fn a_word_that_one_voter_alone_has_heard_is_not_acknowledged() {
    on_one_thread(async {
        let fleet = Fleet::start("departures-alone").await;
        let leader = fleet.leader(1_000).await;
        for (at, voter) in fleet.voters.iter().enumerate() {
            if at != leader {
                voter.signal("STOP");
            }
        }
        let to = fleet.voters[leader].control();
        let word = fleet.word("draining", 2_000);
        assert_ne!(call(to, "PUT", TARGET, &word).await, 200, "no other voter has heard it");
        fleet.voters.iter().for_each(|voter| voter.signal("CONT"));
        let taken = async || call(to, "PUT", TARGET, &word).await == 200;
        until("it is acknowledged once a majority has it", taken).await;
    });
}
