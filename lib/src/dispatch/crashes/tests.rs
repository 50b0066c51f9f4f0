//! Tests of who is blamed for a crash.

use super::*;

fn run(age_ms: u64, record: CrashRecord) -> LostRun {
    LostRun {
        age: Duration::from_millis(age_ms),
        certain: true,
        record,
    }
}

const FRESH: CrashRecord = CrashRecord {
    count: 0,
    suspect: false,
    proven: false,
    unsure: 0,
};
const SUSPECT: CrashRecord = CrashRecord {
    count: 1,
    suspect: true,
    proven: false,
    unsure: 0,
};

#[test]
fn test_judge_suspects_the_young_runs_of_a_first_crash() {
    let policy = Crashes::default();
    let judged = judge(&[run(10, FRESH), run(150, FRESH), run(800, FRESH)], &policy);
    assert_eq!(judged[..2], [SUSPECT, SUSPECT]);
    let passenger = CrashRecord { count: 1, ..FRESH };
    assert_eq!(judged[2], passenger, "it ran for long before the crash");
    assert!(judged.iter().all(|r| !r.is_given_up(&policy)));
}

#[test]
fn test_judge_blames_the_suspect_of_a_second_crash_alone() {
    let policy = Crashes::default();
    let judged = judge(&[run(10, SUSPECT), run(5, FRESH), run(800, FRESH)], &policy);
    assert!(judged[0].is_given_up(&policy));
    assert!(!judged[1].suspect && !judged[2].suspect);
}

#[test]
fn test_judge_does_not_decide_between_two_suspects() {
    let policy = Crashes::default();
    let judged = judge(&[run(10, SUSPECT), run(5, SUSPECT)], &policy);
    assert!(
        judged
            .iter()
            .all(|r| r.count == 2 && !r.is_given_up(&policy))
    );
}

#[test]
fn test_judge_clears_a_suspect_that_has_run_for_long() {
    let policy = Crashes::default();
    let judged = judge(&[run(600, SUSPECT), run(5, FRESH)], &policy);
    assert!(!judged[0].is_given_up(&policy));
    assert!(judged[1].suspect);
}

#[test]
fn test_judge_suspects_all_where_nothing_began_lately() {
    let policy = Crashes::default();
    let judged = judge(&[run(600, FRESH), run(700, FRESH)], &policy);
    assert!(judged.iter().all(|r| r.suspect));
}

#[test]
fn test_judge_gives_up_what_was_at_too_many_crashes() {
    let policy = Crashes::default();
    let mut late = FRESH;
    for crash in 1..=policy.most {
        assert!(!late.is_given_up(&policy), "before crash {crash}");
        late = judge(&[run(900, late), run(5, FRESH)], &policy)[0];
    }
    assert!(late.is_given_up(&policy));
}

/// A start without an answer met the crash of a worker that another task took down: it never ran there, and was held to be
/// the cause since it had been a suspect before.
#[test]
fn test_judge_does_not_prove_a_run_that_may_never_have_arrived() {
    let policy = Crashes::default();
    let unsure = LostRun {
        certain: false,
        ..run(10, SUSPECT)
    };
    let judged = judge(&[unsure, run(11, FRESH)], &policy);
    assert!(!judged[0].is_given_up(&policy));
    assert_eq!((judged[0].count, judged[0].unsure), (1, 1));
    assert_eq!(judged[1], SUSPECT, "what surely was there is suspected");
}

#[test]
fn test_judge_gives_up_a_task_whose_starts_never_get_an_answer() {
    let policy = Crashes::default();
    let mut record = FRESH;
    let mut crashes = 0;
    while !record.is_given_up(&policy) {
        let unsure = LostRun {
            certain: false,
            ..run(1, record)
        };
        record = judge(&[unsure, run(300, FRESH)], &policy)[0];
        crashes += 1;
    }
    assert_eq!(crashes, policy.most_unsure);
}

#[test]
fn test_crash_record_merges_what_two_processes_know() {
    let proven = CrashRecord {
        count: 2,
        proven: true,
        ..SUSPECT
    };
    assert_eq!(SUSPECT.merge(proven), proven);
    assert_eq!(proven.merge(FRESH), proven);
    assert_eq!(CrashRecord::from_proto(proven.proto()), proven);
    assert_eq!(FRESH.proto(), None);
}
