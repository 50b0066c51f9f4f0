//! Tests of `admission`.

use super::*;

fn crowd(waiting: usize) -> QueueLoad {
    QueueLoad {
        waiting,
        slots: 80,
        team_waiting: 0,
        team_quota: None,
        queue: 1_000,
        longest: Duration::from_secs(2),
    }
}

#[test]
fn test_admission_refusal_causes() {
    let admission = Admission::default();
    let left = Duration::from_millis(700);
    assert_eq!(admission.admit(&crowd(80), 1, left), Ok(()));
    let late = admission.admit(&crowd(160), 1, left);
    assert_eq!(late.unwrap_err().0, Cause::Deadline);
    let long = Duration::from_secs(60);
    let full = admission.admit(&crowd(800), 1, long);
    assert_eq!(full.unwrap_err().0, Cause::QueueFull);
}

#[test]
fn test_admission_team_quota() {
    let mut tight = crowd(0);
    tight.team_waiting = 10;
    tight.team_quota = Some(2);
    let wait = Admission::default().expected_wait(&tight);
    assert_eq!(wait, Duration::from_millis(1_500));
}

#[test]
fn test_retry_budget_refill() {
    let mut budget = RetryBudget::default();
    let taken = (0..200).filter(|_| budget.take(Mono(0))).count();
    assert_eq!(taken, 100);
    assert!(budget.take(Mono(1_000_000)));
}
