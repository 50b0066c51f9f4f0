//! Tests of which task is blamed for a crash.

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
fn test_update_records_first_crash() {
    let policy = Crashes::default();
    let updated = update_records(&[run(10, FRESH), run(150, FRESH), run(800, FRESH)], &policy);
    assert_eq!(updated[..2], [SUSPECT, SUSPECT]);
    let bystander = CrashRecord { count: 1, ..FRESH };
    assert_eq!(updated[2], bystander, "it started long before the crash");
    assert!(updated.iter().all(|r| !r.is_given_up(&policy)));
}

#[test]
fn test_update_records_second_crash() {
    let policy = Crashes::default();
    let updated = update_records(&[run(10, SUSPECT), run(5, FRESH), run(800, FRESH)], &policy);
    assert!(updated[0].is_given_up(&policy));
    assert!(!updated[1].suspect && !updated[2].suspect);
}

#[test]
fn test_update_records_two_suspects() {
    let policy = Crashes::default();
    let updated = update_records(&[run(10, SUSPECT), run(5, SUSPECT)], &policy);
    assert!(
        updated
            .iter()
            .all(|r| r.count == 2 && !r.is_given_up(&policy))
    );
}

#[test]
fn test_update_records_old_suspect() {
    let policy = Crashes::default();
    let updated = update_records(&[run(600, SUSPECT), run(5, FRESH)], &policy);
    assert!(!updated[0].is_given_up(&policy));
    assert!(updated[1].suspect);
}

#[test]
fn test_update_records_no_young_runs() {
    let policy = Crashes::default();
    let updated = update_records(&[run(600, FRESH), run(700, FRESH)], &policy);
    assert!(updated.iter().all(|r| r.suspect));
}

#[test]
fn test_update_records_too_many_crashes() {
    let policy = Crashes::default();
    let mut late = FRESH;
    for crash in 1..=policy.most {
        assert!(!late.is_given_up(&policy), "before crash {crash}");
        late = update_records(&[run(900, late), run(5, FRESH)], &policy)[0];
    }
    assert!(late.is_given_up(&policy));
}

/// Guards against giving up a suspect whose unanswered start coincided with a crash that another task caused:
/// it never ran there.
#[test]
fn test_update_records_unanswered_start() {
    let policy = Crashes::default();
    let unsure = LostRun {
        certain: false,
        ..run(10, SUSPECT)
    };
    let updated = update_records(&[unsure, run(11, FRESH)], &policy);
    assert!(!updated[0].is_given_up(&policy));
    assert_eq!((updated[0].count, updated[0].unsure), (1, 1));
    assert_eq!(
        updated[1], SUSPECT,
        "a run that is known to have run there is suspected"
    );
}

#[test]
fn test_update_records_too_many_unanswered() {
    let policy = Crashes::default();
    let mut record = FRESH;
    let mut crashes = 0;
    while !record.is_given_up(&policy) {
        let unsure = LostRun {
            certain: false,
            ..run(1, record)
        };
        record = update_records(&[unsure, run(300, FRESH)], &policy)[0];
        crashes += 1;
    }
    assert_eq!(crashes, policy.most_unsure);
}

#[test]
fn test_crash_record_merge() {
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
