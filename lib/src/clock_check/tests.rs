//! Tests of `clock_check`.

use super::*;

const BOUND: Duration = Duration::from_millis(500);
const NOW: Now = Now {
    mono: Mono(10_000_000),
    wall_ms: 1_000_000,
    box_ms: 1_000_000,
};

/// What a process said in an answer that was 20 ms under way and back.
fn said(ahead_ms: i64, proven: bool) -> ClockAnswer {
    ClockAnswer {
        clock_ms: NOW.wall_ms.saturating_add_signed(ahead_ms - 10),
        sent: Mono(NOW.mono.0 - 50_000),
        held: Duration::from_millis(30),
        proven,
    }
}

#[test]
fn test_clock_check_goes_by_proven_times() {
    let mut check = ClockCheck::new(BOUND);
    assert_eq!(check.note(NOW, 1, said(-600_000, true)), Some(-600_000));
    assert_eq!(
        check.note(NOW, 1, said(-600_000, true)),
        None,
        "told already"
    );
    check.note(NOW, 2, said(0, false));
    check.note(NOW, 3, said(0, false));
    assert_eq!(check.take_correction(), Some(-600_000));
    assert!(check.is_proven());
    check.note(NOW, 1, said(600_000, true));
    assert_eq!(check.take_correction(), None, "a proven time never changes");
}

#[test]
fn test_clock_check_does_not_change_a_time_by_which_something_was_decided() {
    let mut check = ClockCheck::new(BOUND);
    check.prove();
    check.note(NOW, 1, said(600_000, true));
    assert_eq!(check.take_correction(), None);
}

#[test]
fn test_clock_check_is_proven_by_agreement_with_a_proven_time() {
    let mut check = ClockCheck::new(BOUND);
    check.note(NOW, 1, said(100, false));
    assert_eq!((check.take_correction(), check.is_proven()), (None, false));
    check.note(NOW, 2, said(100, true));
    assert_eq!((check.take_correction(), check.is_proven()), (None, true));
}

#[test]
fn test_clock_check_goes_by_most_where_no_time_is_proven() {
    let mut check = ClockCheck::new(BOUND);
    check.note(NOW, 1, said(600_000, false));
    assert_eq!(check.take_correction(), None, "either of two may be wrong");
    check.note(NOW, 2, said(0, false));
    check.note(NOW, 3, said(600_100, false));
    assert_eq!(check.take_correction(), None, "two against two");
    check.note(NOW, 4, said(600_050, false));
    assert_eq!(check.take_correction(), Some(600_000));
    assert!(!check.is_proven());
}

#[test]
fn test_clock_check_passes_over_small_differences_and_late_answers() {
    let mut check = ClockCheck::new(BOUND);
    assert_eq!(check.note(NOW, 1, said(400, true)), None);
    assert_eq!(check.take_correction(), None);
    let late = ClockAnswer {
        sent: Mono(NOW.mono.0 - 2_000_000),
        ..said(-1_500, true)
    };
    assert_eq!(check.note(NOW, 2, late), None);
    assert_eq!(check.widest_ms(), 400);
}

#[test]
fn test_clock_check_forgets_processes_that_are_not_linked() {
    let mut check = ClockCheck::new(BOUND);
    check.note(NOW, 1, said(600_000, true));
    check.retain(|process| process != 1);
    assert_eq!((check.take_correction(), check.widest_ms()), (None, 0));
}
