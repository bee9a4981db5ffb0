//! The page on the configuration tells what the program does.

mod config_cases;

use fescuebay::config::{Edit, Effective, Key};

fn page() -> String {
    let file = format!("{}/docs/configuration.md", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(file).unwrap()
}

#[test]
fn every_key_stands_there_with_its_built_in_value() {
    let page = page();
    for key in Key::ALL {
        let row = format!("| `{key}` | {} | ", Effective::default().get(*key));
        assert!(page.contains(&row), "no row {row:?}");
    }
}

#[test]
fn its_edits_can_be_sent() {
    let page = page();
    let json = page.split("```json").nth(1).and_then(|rest| rest.split("```").next()).unwrap();
    let edits: Vec<Edit> = config_cases::edits(json);
    assert_eq!(edits.len(), 12, "every kind of edit");
}
