//! Signals to processes that have just started.

#[path = "nine/cluster.rs"]
#[allow(dead_code, reason = "the tests of nine daemons use the rest")]
mod cluster;
mod common;
mod gateway_support;
mod roles_support;
#[path = "nine/web.rs"]
#[allow(dead_code, reason = "the tests of nine daemons use the rest")]
mod web;

use std::io::Write as _;
use std::process::Command;

use cluster::Cluster;
use common::process::until;
use gateway_support::on_one_thread;
use roles_support::Net;

/// Guards against SIGHUP ending a daemon that has no handler for it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_that_is_told_to_reload_goes_on() {
    let mut cluster = Cluster::of("signals-reload", 3).await;
    cluster.daemons[1].signal("HUP");
    cluster.in_force(1).await;
    cluster.daemons[1].signal("TERM");
    assert_eq!(cluster.daemons[1].exit_code().await, Some(0));
}

/// Guards against SIGHUP ending a role that does not handle signals yet while it starts.
#[test]
fn a_role_that_is_told_to_reload_as_it_starts_goes_on() {
    on_one_thread(async {
        let mut router = Net::new("signals-start", 1).router(10);
        let text = std::fs::read_to_string(&router.settings).unwrap();
        std::fs::remove_file(&router.settings).unwrap();
        assert!(Command::new("mkfifo").arg(&router.settings).status().unwrap().success());
        router.start();
        // Opens once the process opens it to read, and waits for what is written.
        let mut pipe = std::fs::File::options().write(true).open(&router.settings).unwrap();
        router.signal("HUP");
        std::fs::remove_file(&router.settings).unwrap();
        std::fs::write(&router.settings, &text).unwrap();
        pipe.write_all(text.as_bytes()).unwrap();
        drop(pipe);
        let reloaded = async || router.log().contains("reload: the first voters are");
        until("the settings are read again", reloaded).await;
        router.signal("TERM");
        assert_eq!(router.exit_code().await, Some(0));
    });
}
