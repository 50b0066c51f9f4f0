//! Tests of `fleet`.

use super::*;

/// Guards against ordering the incarnations of an agent by the clock of its box. If that clock is set back
/// before a restart, the new incarnation looks older and the agent gets no tasks for half a minute.
#[test]
fn test_worker_started_ms_from_uptime() {
    let hello = |incarnation, up_ms| wire::Hello {
        name: "w1".to_owned(),
        incarnation,
        agent: true,
        up_ms,
        ..Default::default()
    };
    let now = |ms: u64| Now::steady(Mono(ms * 1_000), 1_000_000 + ms);
    let first = Worker::new(&hello(1, 5_000), LinkId(1), now(10_000).mono);
    let second = Worker::new(&hello(2, 300), LinkId(2), now(20_000).mono);
    let later = now(30_000);
    assert_eq!(first.started_ms(later), 1_005_000);
    assert_eq!(second.started_ms(later), 1_019_700);
}
