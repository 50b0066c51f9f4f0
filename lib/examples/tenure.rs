//! Tenure: how long an entry may act on its last read of the ownership record, and how other members' promises
//! extend that while the store is unreachable.
//!
//! `cargo run -p stackcourse-lib --example tenure`

use std::time::Duration;

use stackcourse_lib::clock::Mono;
use stackcourse_lib::tenure::RightState;
use stackcourse_lib::tenure::Tenure;
use stackcourse_lib::tenure::TenureSetup;

fn main() {
    let at = |ms: u64| Mono(ms * 1_000);
    let mut tenure = Tenure::new(TenureSetup {
        lease: Duration::from_secs(2),
        max_extension: Duration::from_secs(300),
        promise: Duration::from_millis(1_500),
    });
    // A read sent at 1 s shows this entry as a member beside members 7 and 8.
    tenure.confirm(at(1_000), vec![7, 8]);
    assert_eq!(tenure.right_state(at(2_900)), RightState::Confirmed);

    // The store becomes unreachable. Both members promise not to take any shards over.
    for member in [7, 8] {
        let seq = tenure.ask(member, at(2_900));
        tenure.promise(member, seq, true);
    }
    assert_eq!(tenure.right_state(at(4_300)), RightState::Promised);
    assert_eq!(tenure.right_state(at(4_400)), RightState::Expired);
    println!("the promises of two members extended the right to act by 1.4 s beyond the lease");
}
