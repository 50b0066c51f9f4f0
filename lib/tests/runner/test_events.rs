//! Numbered log events and their table in `docs/EVENTS.md`.

use stackcourse_lib::event::Kind;

#[test]
fn test_events_match_docs() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/EVENTS.md");
    let page = std::fs::read_to_string(path).expect("docs/EVENTS.md is readable");
    let rows: Vec<&str> = page.lines().filter(|l| l.starts_with("| SC")).collect();
    let expected: Vec<String> = Kind::ALL
        .iter()
        .map(|k| {
            let level = format!("{:?}", k.level()).to_lowercase();
            format!("| SC{:03} | {level} | {} |", k.number(), k.text())
        })
        .collect();
    assert_eq!(
        rows.len(),
        expected.len(),
        "the numbers of rows and events differ"
    );
    for (row, start) in rows.iter().zip(&expected) {
        assert!(row.starts_with(start), "{row} does not begin with {start}");
        assert!(row.len() > start.len() + 4, "{row} does not say what to do");
    }
}

#[test]
fn test_events_ascending_numbers() {
    let numbers: Vec<u16> = Kind::ALL.iter().map(|k| k.number()).collect();
    assert!(numbers.windows(2).all(|w| w[0] < w[1]), "{numbers:?}");
}
