//! Load estimate and admission: which jobs are admitted, and after which delay callers should retry refused
//! ones.
//!
//! `cargo run -p stackcourse-lib --example load_estimate`

use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use stackcourse_lib::admission::Admission;
use stackcourse_lib::admission::QueueLoad;
use stackcourse_lib::admission::retry_ms;

fn main() {
    let mut admission = Admission::default();
    for _ in 0..500 {
        admission.record_duration(Duration::from_millis(400));
    }
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for waiting in [0, 100, 200, 400] {
        let crowd = QueueLoad {
            waiting,
            slots: 80,
            team_waiting: 0,
            team_quota: None,
            queue: 20_000,
            longest: Duration::from_secs(1),
        };
        match admission.admit(&crowd, 4, Duration::from_secs(10)) {
            Ok(()) => println!("{waiting} waiting: admitted"),
            Err((cause, wait)) => {
                let retry = retry_ms(wait, &mut rng);
                println!("{waiting} waiting: {}, retry in {retry} ms", cause.name());
            }
        }
    }
}
