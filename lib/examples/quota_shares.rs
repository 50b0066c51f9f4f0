//! Quota shares: an allocator divides a quota between two holders, whose shares never exceed it together.
//!
//! `cargo run -p stackcourse-lib --example quota_shares`

use stackcourse_lib::clock::Mono;
use stackcourse_lib::quota::Allocator;
use stackcourse_lib::quota::SHARE_SPAN;
use stackcourse_lib::quota::Share;
use stackcourse_lib::quota::ShareAsk;

/// Requests a share for a holder and applies the allocator's grant.
fn renew_share(allocator: &mut Allocator, share: &mut Share, holder: u64, now: Mono, want: u32) {
    let have = share.have(now);
    let used = share.used();
    let seq = share.ask(now);
    let request = ShareAsk {
        holder,
        seq,
        used,
        want,
        have,
    };
    let amount = allocator.ask(now, 10, request);
    share.granted(seq, amount, SHARE_SPAN);
}

fn main() {
    let mut allocator = Allocator::first();
    let (mut first, mut second) = (Share::default(), Share::default());
    let at = |ms: u64| Mono(ms * 1_000);
    renew_share(&mut allocator, &mut first, 1, at(1), 20);
    println!("alone, the first holder gets {} of 10", first.have(at(1)));
    for ms in (2..2_000).step_by(400) {
        renew_share(&mut allocator, &mut second, 2, at(ms), 20);
        renew_share(&mut allocator, &mut first, 1, at(ms + 1), 20);
        let now = at(ms + 1);
        assert!(first.have(now) + second.have(now) <= 10);
        println!("{ms:>5} ms: {} and {}", first.have(now), second.have(now));
    }
}
