//! The ownership record: epochs increase with each change of owner, and shards are spread evenly over the
//! members.
//!
//! `cargo run -p stackcourse-lib --example ownership_record`

use stackcourse_lib::ownership::Member;
use stackcourse_lib::ownership::OwnershipRecord;

fn main() {
    let mut record = OwnershipRecord::new(8);
    for (name, incarnation) in [("e1", 1), ("e2", 2), ("e3", 3)] {
        record.join(Member {
            name: name.into(),
            incarnation,
            address: String::new(),
            http: String::new(),
            zone: String::new(),
        });
    }
    record.assign_unowned(&[1, 2, 3], 0);
    for incarnation in 1..=3 {
        println!("entry {incarnation} owns {:?}", record.owned(incarnation));
    }
    // Entry 1 crashes. Its shards get new owners and higher epochs, and they record the former owner, because
    // the new owners must wait until its right to act has expired.
    record.remove_member(1, 1_800_000_000_000);
    record.assign_unowned(&[2, 3], 0);
    for incarnation in 2..=3 {
        println!(
            "then entry {incarnation} owns {:?}",
            record.owned(incarnation)
        );
    }
    println!("{}", String::from_utf8_lossy(&record.value()));
}
