//! Following the configuration: versions only increase, and an agent gets only its own part.
//!
//! `cargo run -p stackcourse-lib --example follow_configuration`

use serde_json::json;
use stackcourse_lib::configuration::Configuration;
use stackcourse_lib::configuration::Site;
use stackcourse_lib::follower::Follower;
use stackcourse_lib::versions::Version;

fn version(number: u64, hall: &str) -> bytes::Bytes {
    let version = Version {
        version: number,
        change: format!("change-{number}"),
        author: "operator".into(),
        time_ms: 0,
        previous: String::new(),
        config: json!({"services": {"quote": {"halls": [hall], "zones": ["*"]}}}),
    };
    serde_json::to_vec(&version)
        .expect("a version is JSON")
        .into()
}

fn main() {
    let mut follower = Follower::default();
    assert!(follower.apply(2, version(2, "h2")).expect("readable"));
    assert!(!follower.apply(1, version(1, "h1")).expect("older"));
    println!(
        "version {} is in force, and an older one is ignored",
        follower.version()
    );
    let site = |hall| Site {
        name: "w1",
        hall,
        zone: "z1",
    };
    for hall in ["h1", "h2"] {
        let part = follower.config().part(2, site(hall));
        println!("an agent in {hall} may run {:?}", part.services.keys());
    }
    let invalid = Configuration::parse("file.json", b"{\"services\": {\"q\": {\"halls\": 3}}}");
    for finding in invalid.expect_err("findings") {
        println!("finding: {finding}");
    }
}
