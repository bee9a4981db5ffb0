//! The settings file of a VM with one role.

use fescuebay::settings::vm::{self, Role};

const ROUTER: &str = "[vm]\nrole = router\nip = 10.0.0.7\navailability_zone = z\n\
    callers = 10.0.0.7:80\nreadiness = 10.0.0.7:81\npeer_port = 7100\n\
    [group]\ncluster = c\nfirst = 10.0.0.1:90,10.0.0.2\nmax_lost = 2\n";

/// The problems of a file, as lines of text.
fn problems(text: &str) -> Vec<String> {
    let problems = vm::read(text).err().unwrap_or_default();
    problems.iter().map(ToString::to_string).collect()
}

#[test]
fn a_router_needs_no_folder_and_names_voters_with_or_without_a_port() {
    let settings = vm::read(ROUTER).unwrap();
    assert_eq!(settings.vm.role, Role::Router);
    assert_eq!(settings.group.first.len(), 2);
    assert_eq!(settings.group.places(), 5);
    assert!(!settings.group.may_form, "a group is formed only where the file says so");
}

#[test]
fn every_problem_is_named_with_its_place() {
    let cases = [
        ("role = router", "role = king", "[vm] role: write router or voter"),
        ("role = router", "role = voter", "[vm] control: a voter needs this key"),
        ("callers = 10.0.0.7:80", "", "[vm] callers: a router needs this key"),
        ("first = 10.0.0.1:90,10.0.0.2", "first = vm-1", "[group] first: vm-1 is no address"),
        ("max_lost = 2", "max_lots = 2", "[group] max_lots: unknown key"),
        ("max_lost = 2", "[retries]\nratio = -1", "[retries] ratio: write a number from 0 on"),
    ];
    for (old, new, expected) in cases {
        let text = ROUTER.replace(old, new);
        let found = problems(&text);
        assert!(found.iter().any(|problem| problem.contains(expected)), "{expected}: {found:?}");
    }
}

#[test]
fn a_vm_listens_for_other_daemons_where_they_reach_it_unless_told_otherwise() {
    let settings = vm::read(ROUTER).unwrap();
    assert_eq!((settings.vm.peer_port, settings.vm.peer_listen_port), (7100, 7100));
    let mapped = ROUTER.replace("peer_port = 7100", "peer_port = 7100\npeer_listen_port = 7200");
    let settings = vm::read(&mapped).unwrap();
    assert_eq!((settings.vm.peer_port, settings.vm.peer_listen_port), (7100, 7200));
}
