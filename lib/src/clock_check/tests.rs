//! Tests of `clock_check`.

use super::*;

const BOUND: Duration = Duration::from_millis(500);
const NOW: Now = Now {
    mono: Mono(10_000_000),
    wall_ms: 1_000_000,
    box_ms: 1_000_000,
};

/// An answer with a travel time of 20 ms in total.
fn answer(ahead_ms: i64, proven: bool) -> ClockAnswer {
    ClockAnswer {
        clock_ms: NOW.wall_ms.saturating_add_signed(ahead_ms - 10),
        sent: Mono(NOW.mono.0 - 50_000),
        held: Duration::from_millis(30),
        proven,
    }
}

#[test]
fn test_clock_check_proven_times_decide() {
    let mut check = ClockCheck::new(BOUND);
    assert_eq!(check.note(NOW, 1, answer(-600_000, true)), Some(-600_000));
    assert_eq!(
        check.note(NOW, 1, answer(-600_000, true)),
        None,
        "reported already"
    );
    check.note(NOW, 2, answer(0, false));
    check.note(NOW, 3, answer(0, false));
    assert_eq!(check.take_correction(), Some(-600_000));
    assert!(check.is_proven());
    check.note(NOW, 1, answer(600_000, true));
    assert_eq!(check.take_correction(), None, "a proven time never changes");
}

#[test]
fn test_clock_check_proven_by_decision() {
    let mut check = ClockCheck::new(BOUND);
    check.prove();
    check.note(NOW, 1, answer(600_000, true));
    assert_eq!(check.take_correction(), None);
}

#[test]
fn test_clock_check_proven_by_agreement() {
    let mut check = ClockCheck::new(BOUND);
    check.note(NOW, 1, answer(100, false));
    assert_eq!((check.take_correction(), check.is_proven()), (None, false));
    check.note(NOW, 2, answer(100, true));
    assert_eq!((check.take_correction(), check.is_proven()), (None, true));
}

#[test]
fn test_clock_check_majority_of_unproven() {
    let mut check = ClockCheck::new(BOUND);
    check.note(NOW, 1, answer(600_000, false));
    assert_eq!(check.take_correction(), None, "either of two may be wrong");
    check.note(NOW, 2, answer(0, false));
    check.note(NOW, 3, answer(600_100, false));
    assert_eq!(check.take_correction(), None, "two against two");
    check.note(NOW, 4, answer(600_050, false));
    assert_eq!(check.take_correction(), Some(600_000));
    assert!(!check.is_proven());
}

#[test]
fn test_clock_check_ignored_answers() {
    let mut check = ClockCheck::new(BOUND);
    assert_eq!(check.note(NOW, 1, answer(400, true)), None);
    assert_eq!(check.take_correction(), None);
    let late = ClockAnswer {
        sent: Mono(NOW.mono.0 - 2_000_000),
        ..answer(-1_500, true)
    };
    assert_eq!(check.note(NOW, 2, late), None);
    assert_eq!(check.widest_ms(), 400);
}

#[test]
fn test_clock_check_unlinked_processes() {
    let mut check = ClockCheck::new(BOUND);
    check.note(NOW, 1, answer(600_000, true));
    check.retain(|process| process != 1);
    assert_eq!((check.take_correction(), check.widest_ms()), (None, 0));
}
