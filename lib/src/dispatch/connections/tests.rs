use assert_matches::assert_matches;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::*;

const MIB: usize = 1 << 20;

fn budget() -> Budget {
    Budget {
        process: ProcessLimits {
            memory_mb: 32,
            descriptors: 256,
        },
        memory: 8 * MIB,
        connections: 128,
        greetings: 32,
    }
}

fn peer() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 4000))
}

fn at_ms(ms: u64) -> Mono {
    Mono(ms * 1000 + 1)
}

/// Opens a connection and brings the head of a request.
fn begin(c: &mut Connections, now: Mono, body: BodyKind) -> Result<ConnectionId, Cause> {
    let id = c.open(now, Port::Main, peer())?;
    c.received(now, id, 300)?;
    c.begin(now, id, body)?;
    Ok(id)
}

/// Brings a part of a body in steps, for which memory is taken to the byte.
fn bring(c: &mut Connections, now: Mono, id: ConnectionId, bytes: usize) -> Result<(), Cause> {
    let mut left = bytes;
    while left > 0 {
        let step = left.min(READ_STEP);
        c.received(now, id, step)?;
        c.body_part(now, id, step, step)?;
        left -= step;
    }
    Ok(())
}

/// Serves an ordinary request from its first to its last byte.
fn serve_ordinary(c: &mut Connections, now: Mono) -> Result<(), Cause> {
    let id = begin(c, now, BodyKind::Sized(2000))?;
    bring(c, now, id, 2000)?;
    c.body_complete(now, id);
    c.answer(now, id, 100)?;
    assert!(c.flushed(now, id));
    c.close(id);
    Ok(())
}

/// Guards against a process that runs out of memory: large bodies that stop short of their end hold no more than their
/// share, and an ordinary request is served beside them.
#[test]
fn test_connections_unfinished_bodies() {
    let mut c = Connections::new(budget());
    let mut refused = 0;
    for n in 0..400 {
        let now = at_ms(n);
        let Ok(id) = begin(&mut c, now, BodyKind::Sized(256 << 10)) else {
            refused += 1;
            continue;
        };
        for _ in 0..32 {
            if bring(&mut c, now, id, (8 << 10) - 1).is_err() {
                refused += 1;
                c.close(id);
                break;
            }
        }
        serve_ordinary(&mut c, now).expect("an ordinary request is served");
    }
    assert!(refused > 0);
    assert!(c.gauges()[2] <= budget().large_memory() + MIB);
}

/// A body of the largest legal size is served in calm.
#[test]
fn test_connections_largest_body() {
    let mut c = Connections::new(budget());
    let id = begin(&mut c, at_ms(0), BodyKind::Open).expect("a request");
    for n in 0..1024 {
        bring(&mut c, at_ms(n), id, 256).expect("room for a body of legal size");
    }
    assert_eq!(bring(&mut c, at_ms(2000), id, 1), Err(Cause::BodySize));
}

/// What makes room for others is the connection that has held much for long and brought nothing, not the newcomer and not
/// one that is served.
#[test]
fn test_connections_closed_first() {
    let mut c = Connections::new(budget());
    let held = |c: &mut Connections, now| {
        let id = begin(c, now, BodyKind::Sized(256 << 10)).expect("a request");
        bring(c, now, id, 200 << 10).expect("room");
        id
    };
    let served = held(&mut c, at_ms(0));
    c.body_complete(at_ms(0), served);
    let oldest = held(&mut c, at_ms(10));
    let mut others = Vec::new();
    while c.gauges()[2] + 400 * 1024 < budget().large_memory() {
        others.push(held(&mut c, at_ms(20)));
    }
    assert!(c.take_closed().is_empty());
    let late = begin(&mut c, at_ms(500), BodyKind::Sized(256 << 10)).expect("a request");
    bring(&mut c, at_ms(500), late, 200 << 10).expect("room is made");
    let closed = c.take_closed();
    assert_matches!(&closed[..], [closed] if closed.id == oldest && closed.cause == Cause::Memory);
    assert!(closed[0].in_request);
}

/// Where the others are at work, the large request that finds no room is refused, and ordinary ones are not.
#[test]
fn test_connections_all_at_work() {
    let mut c = Connections::new(budget());
    let mut refusals = 0;
    for _ in 0..60 {
        let begun = begin(&mut c, at_ms(0), BodyKind::Sized(256 << 10));
        let id = begun.expect("a request");
        match bring(&mut c, at_ms(0), id, 100 << 10) {
            Ok(()) => {}
            Err(cause) => {
                assert_eq!(cause, Cause::Memory);
                c.close(id);
                refusals += 1;
            }
        }
    }
    assert!(refusals > 0);
    assert!(c.take_closed().is_empty());
    for _ in 0..20 {
        begin(&mut c, at_ms(0), BodyKind::Sized(1000)).expect("an ordinary request is taken");
    }
}

/// Single bytes don't keep a connection from being the first to go, but they keep it from its time limit.
#[test]
fn test_connections_single_bytes() {
    let mut c = Connections::new(budget());
    let slow = begin(&mut c, at_ms(0), BodyKind::Sized(1000)).expect("a request");
    for n in 1..=100 {
        bring(&mut c, at_ms(n * 500), slow, 1).expect("room");
        c.sweep(at_ms(n * 500));
    }
    assert!(c.take_closed().is_empty(), "in calm the client is served");
    let limit = budget().connection_limit(Port::Main);
    for _ in 1..limit {
        c.open(at_ms(50_000), Port::Main, peer()).expect("room");
    }
    c.open(at_ms(50_000), Port::Main, peer())
        .expect("room is made");
    let closed = c.take_closed();
    assert_matches!(&closed[..], [closed] if closed.id == slow && closed.cause == Cause::Connections);
}

/// A port has connections of its own: a crowd of callers takes none of the readiness checks.
#[test]
fn test_connections_ports() {
    let mut c = Connections::new(budget());
    while c.open(at_ms(0), Port::Main, peer()).is_ok() {}
    c.open(at_ms(0), Port::Readiness, peer())
        .expect("a readiness check");
    c.open(at_ms(0), Port::Metrics, peer()).expect("a reading");
    assert!(c.gauges()[0] <= budget().connections);
}

/// Each phase has its time limit, counted anew for a later request on the connection.
#[test]
fn test_connections_time_limits() {
    let mut c = Connections::new(budget());
    let sweep_at = |c: &mut Connections, ms: u64| {
        c.sweep(at_ms(ms - 500));
        c.sweep(at_ms(ms));
        let closed = c.take_closed();
        closed.first().map(|c| (c.id, c.cause))
    };
    let silent = c.open(at_ms(0), Port::Main, peer()).expect("room");
    assert_eq!(sweep_at(&mut c, 3_900), None);
    assert_eq!(sweep_at(&mut c, 4_100), Some((silent, Cause::HeadTime)));
    let stalled = begin(&mut c, at_ms(5_000), BodyKind::Sized(10)).expect("a request");
    assert_eq!(sweep_at(&mut c, 20_900), None);
    assert_eq!(sweep_at(&mut c, 21_100), Some((stalled, Cause::BodyTime)));
    let again = begin(&mut c, at_ms(30_000), BodyKind::None).expect("a request");
    assert_eq!(sweep_at(&mut c, 80_000), None, "a job may take its time");
    c.answer(at_ms(80_000), again, 100).expect("room");
    assert!(c.flushed(at_ms(80_000), again));
    assert_eq!(sweep_at(&mut c, 90_000), None);
    c.received(at_ms(90_000), again, 1).expect("room");
    assert_eq!(sweep_at(&mut c, 94_100), Some((again, Cause::HeadTime)));
    let unread = begin(&mut c, at_ms(100_000), BodyKind::None).expect("a request");
    c.answer(at_ms(100_000), unread, 100).expect("room");
    assert_eq!(sweep_at(&mut c, 116_100), Some((unread, Cause::AnswerTime)));
}

/// After a pause of the process its clients have their time: what they sent meanwhile has not been read.
#[test]
fn test_connections_process_paused() {
    let mut c = Connections::new(budget());
    c.sweep(at_ms(0));
    c.open(at_ms(0), Port::Main, peer()).expect("room");
    c.sweep(at_ms(30_000));
    assert!(c.take_closed().is_empty());
    c.sweep(at_ms(30_500));
    assert_eq!(c.take_closed().len(), 1);
}

/// A client that pipelines requests is read on only after the answer.
#[test]
fn test_connections_read_ahead() {
    let mut c = Connections::new(budget());
    let id = begin(&mut c, at_ms(0), BodyKind::None).expect("a request");
    assert_eq!(c.read_allowance(id), ReadAllowance::Bytes(READ_AHEAD));
    c.received(at_ms(0), id, READ_AHEAD).expect("room");
    assert_eq!(c.read_allowance(id), ReadAllowance::Nothing);
    c.answer(at_ms(0), id, 100).expect("room");
    assert_eq!(c.read_allowance(id), ReadAllowance::Nothing);
    assert!(c.flushed(at_ms(0), id));
    assert_matches!(c.read_allowance(id), ReadAllowance::Bytes(_));
}

/// Chunks whose framing costs far more than they bring are refused; chunks of one byte are not.
#[test]
fn test_connections_body_overhead() {
    let mut c = Connections::new(budget());
    let id = begin(&mut c, at_ms(0), BodyKind::Open).expect("a request");
    for n in 0..100_000 {
        c.received(at_ms(n), id, 6).expect("chunks of one byte");
        c.body_part(at_ms(n), id, 1, 0).expect("room");
    }
    let id = begin(&mut c, at_ms(0), BodyKind::Open).expect("a request");
    let costly = (0..100).try_for_each(|n| c.received(at_ms(n), id, 1000));
    assert_eq!(costly, Err(Cause::BodyOverhead));
}

/// A crowd is told of once a second for each cause, with its size.
#[test]
fn test_connections_notices() {
    let mut c = Connections::new(budget());
    for _ in 0..1000 {
        let refused = begin(&mut c, at_ms(0), BodyKind::Sized(1 << 40));
        assert_eq!(refused, Err(Cause::BodySize));
        let ids: Vec<ConnectionId> = c.connections.keys().collect();
        ids.into_iter().for_each(|id| c.close(id));
    }
    let notices = c.take_notices(at_ms(0));
    assert_matches!(&notices[..], [n] if n.cause == Cause::BodySize && n.count == 1000);
    let _ = begin(&mut c, at_ms(10), BodyKind::Sized(1 << 40));
    assert!(c.take_notices(at_ms(500)).is_empty());
    assert_eq!(c.take_notices(at_ms(1000))[0].count, 1);
}

/// The defaults on boxes of the sizes that the product is built for, and on a large one.
#[test]
fn test_connections_default_budget() {
    let on = |memory_mb, descriptors| {
        let found = ProcessLimits {
            memory_mb,
            descriptors,
        };
        Budget::new(found, &LimitSettings::default())
    };
    assert_eq!(on(120, 3075).memory, 30 * MIB);
    assert_eq!(on(160, 3075).memory, 40 * MIB);
    assert_eq!(on(1 << 20, 1 << 20).memory, 48 * MIB);
    assert!(on(120, 3075).largest_body() >= 256 << 10);
    assert_eq!(on(1 << 20, 256).connections, 128);
}

/// Limits that can't be kept together are found among those that are set.
#[test]
fn test_connections_conflicts() {
    let conflicts = |text: &str| {
        let settings: LimitSettings = serde_json::from_str(text).expect("settings");
        settings.conflicts()
    };
    assert_eq!(conflicts("{}"), []);
    assert_eq!(
        conflicts(r#"{"memory_mb": 100, "client_memory_mb": 51}"#),
        [LimitConflict::Memory]
    );
    assert_eq!(
        conflicts(r#"{"descriptors": 1000, "client_memory_mb": 8, "client_connections": 501}"#),
        [LimitConflict::Descriptors, LimitConflict::Connections]
    );
    assert_eq!(
        conflicts(r#"{"memory_mb": 100, "client_memory_mb": 50}"#),
        []
    );
}

/// Plays random courses of connections on all ports. The set asserts after each step that the budget is kept; here what it
/// counts is compared with what the courses did, and an ordinary request is served whenever room can be made.
#[test]
fn test_connections_random_courses() {
    for seed in 0..40 {
        play(seed);
    }
}

fn play(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut c = Connections::new(budget());
    let mut open: Vec<ConnectionId> = Vec::new();
    let mut ms = 0;
    for _ in 0..4_000 {
        ms += rng.random_range(0..20);
        let now = at_ms(ms);
        if rng.random_ratio(1, 3) {
            let port = [
                Port::Main,
                Port::Main,
                Port::Readiness,
                Port::Metrics,
                Port::Links,
            ];
            if let Ok(id) = c.open(now, port[rng.random_range(0..port.len())], peer()) {
                open.push(id);
            }
        } else if !open.is_empty() {
            let i = rng.random_range(0..open.len());
            if step(&mut c, &mut rng, now, open[i]).is_err() {
                c.close(open.swap_remove(i));
            }
        }
        if rng.random_ratio(1, 20) {
            c.sweep(now);
        }
        for closed in c.take_closed() {
            open.retain(|id| *id != closed.id);
        }
        let held: usize = c
            .connections
            .values()
            .map(|c| c.held + CONNECTION_BYTES)
            .sum();
        assert_eq!(c.gauges(), [open.len(), c.most_open, held], "seed {seed}");
        assert!(held <= budget().memory, "seed {seed}");
        check_ordinary(&c, now, seed);
    }
}

/// Takes a random step of a connection. An error means that its client is refused.
fn step(
    c: &mut Connections,
    rng: &mut ChaCha8Rng,
    now: Mono,
    id: ConnectionId,
) -> Result<(), Cause> {
    let bytes = 1 << rng.random_range(0..14);
    match rng.random_range(0..8) {
        0 => c.begin(now, id, BodyKind::Open),
        1 => c.begin(now, id, BodyKind::Sized(rng.random_range(1..300 << 10))),
        2 => {
            c.body_complete(now, id);
            Ok(())
        }
        3 => c.answer(now, id, bytes * 4),
        4 => {
            c.flushed(now, id);
            Ok(())
        }
        5 => c.chunk_queue(now, id, bytes / 16),
        _ => match c.read_allowance(id) {
            ReadAllowance::Bytes(most) => {
                c.received(now, id, bytes.min(most))?;
                c.body_part(now, id, bytes.min(most), bytes * 8)
            }
            ReadAllowance::Refused(cause) => Err(cause),
            ReadAllowance::Nothing | ReadAllowance::Closed => Ok(()),
        },
    }
}

/// Checks that large requests leave room for an ordinary one: it is refused only where ordinary ones and connections take
/// all of the memory.
fn check_ordinary(c: &Connections, now: Mono, seed: u64) {
    let ordinary = c.connections.values();
    let ordinary = ordinary.filter(|c| c.held <= ORDINARY_BYTES);
    let held: usize = ordinary.map(|c| c.held + CONNECTION_BYTES).sum();
    if held + CONNECTION_BYTES <= budget().memory - budget().large_memory() {
        let mut copy = Connections {
            budget: c.budget,
            limits: c.limits,
            connections: c.connections.clone(),
            open: [0; PORTS],
            held: c.held,
            most_open: 0,
            last_sweep: None,
            closed: Vec::new(),
            counts: CauseCounts::default(),
        };
        let opened = copy.open(now, Port::Main, peer());
        assert!(opened.is_ok(), "seed {seed}: {opened:?}");
    }
}

/// Answers that clients don't take are counted with what they leave in the kernel's buffers, and are the first to go.
#[test]
fn test_connections_unread_answers() {
    let mut c = Connections::new(budget());
    let id = begin(&mut c, at_ms(0), BodyKind::None).expect("a request");
    c.answer(at_ms(0), id, 100).expect("room");
    let before = c.gauges()[2];
    c.blocked(at_ms(0), id).expect("room");
    c.blocked(at_ms(10), id).expect("counted once");
    assert_eq!(c.gauges()[2], before + BLOCKED_ANSWER);
    c.sent(at_ms(20), id);
    assert!(c.flushed(at_ms(30), id));
    assert_eq!(c.gauges()[2], CONNECTION_BYTES);
}

/// Guards against callers that stay with a process until it ends: connections that wait for a request are closed before,
/// and no others.
#[test]
fn test_connections_unused() {
    let mut c = Connections::new(budget());
    let [silent, partial, new] = [at_ms(0), at_ms(0), at_ms(900)]
        .map(|now| c.open(now, Port::Main, peer()).expect("there is room"));
    let other_port = c.open(at_ms(0), Port::Metrics, peer());
    let other_port = other_port.expect("there is room");
    c.received(at_ms(10), partial, 20).expect("there is room");
    let body = begin(&mut c, at_ms(0), BodyKind::Sized(10)).expect("a request");
    let served = begin(&mut c, at_ms(0), BodyKind::None).expect("a request");
    let idle = begin(&mut c, at_ms(0), BodyKind::None).expect("a request");
    c.answer(at_ms(20), idle, 10).expect("there is room");
    assert!(c.flushed(at_ms(20), idle));
    let unused = c.unused(at_ms(1000), Port::Main);
    assert_eq!(unused, [silent, idle], "not one that was opened just now");
    assert_eq!(c.unused(at_ms(1100), Port::Main), [silent, new, idle]);
    assert_eq!(c.unused(at_ms(1000), Port::Metrics), [other_port]);
    assert_eq!(c.unfinished(Port::Main), [partial, body]);
    assert!(c.is_busy(Port::Main) && !c.is_busy(Port::Metrics));
    for id in [partial, body, served] {
        assert!(!c.awaits_request(id));
        c.close(id);
    }
    assert!(!c.is_busy(Port::Main));
}
