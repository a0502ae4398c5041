//! Token buckets at the owner of a shard.

use std::time::Duration;

use cactustrack_fleet::message::{QuotaLevel, QuotaOutcome};
use cactustrack_fleet::quota::bucket::{BucketLimits, Buckets, Decision};
use cactustrack_fleet::quota::ownership::shard_of;
use cactustrack_fleet::quota::{MAX_RETRY_AFTER, QuotaLimits};
use cactustrack_types::Quota;

const LIMITS: QuotaLimits =
    QuotaLimits { window: Duration::from_secs(5), tolerance: 0.1, slack: 20.0 };

const CLAIMED: Duration = Duration::from_secs(100);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a bucket that allows more in a window than the bound, for any quota and any bounds
/// of the deployment.
#[test]
fn limits_keep_a_window_within_the_bound() {
    struct Case {
        quota: Quota,
        limits: QuotaLimits,
        capacity: f64,
        refill: f64,
    }
    let quota = |rate, burst| Quota { rate, burst };
    let cases = [
        Case { quota: quota(10.0, 15.0), limits: LIMITS, capacity: 20.0, refill: 10.0 },
        Case { quota: quota(10.0, 0.0), limits: LIMITS, capacity: 10.0, refill: 10.0 },
        // The tolerance does not cover the validity of the tokens, so that the rate is lower.
        Case {
            quota: quota(55.0, 0.0),
            limits: QuotaLimits { tolerance: 0.0, slack: 2.0, ..LIMITS },
            capacity: 1.0,
            refill: 50.0,
        },
    ];
    for Case { quota, limits, capacity, refill } in cases {
        let bucket = BucketLimits::new(quota, &limits);
        assert!((bucket.capacity - capacity).abs() < 1e-9, "{quota:?}: {bucket:?}");
        assert!((bucket.refill - refill).abs() < 1e-9, "{quota:?}: {bucket:?}");
        let granted = bucket.capacity + bucket.refill * (limits.window + ms(500)).as_secs_f64();
        let bound = (quota.rate * 5.0 + quota.burst) * (1.0 + limits.tolerance) + limits.slack;
        assert!(granted <= bound, "{quota:?}: {granted} of {bound}");
    }
}

/// Guards against a new owner that grants what the one before it has granted already, and against a
/// bucket that loses tokens because it was removed while idle.
#[test]
fn tokens_are_those_since_the_shard_was_claimed() {
    struct Case {
        after: Duration,
        granted: Option<u16>,
    }
    let cases = [
        Case { after: ms(0), granted: None },
        Case { after: ms(250), granted: Some(1) },
        Case { after: ms(1_400), granted: Some(5) },
        // From here on with the tokens of a new owner.
        Case { after: ms(1_500), granted: Some(8) },
        Case { after: ms(60_000), granted: Some(16) },
    ];
    let limits = BucketLimits::new(Quota { rate: 4.0, burst: 8.0 }, &LIMITS);
    for Case { after, granted } in cases {
        let mut buckets = Buckets::default();
        let decision = buckets.take(CLAIMED + after, CLAIMED, 1, limits, 100);
        match granted {
            Some(tokens) => assert_eq!(decision, Decision::Granted(tokens), "after {after:?}"),
            None => assert!(matches!(decision, Decision::Exhausted { .. }), "after {after:?}"),
        }
    }
}

/// Guards against refusals that all tell the same time, at which only one token is due.
#[test]
fn each_refusal_is_told_the_next_free_token() {
    let limits = BucketLimits::new(Quota { rate: 2.0, burst: 1.0 }, &LIMITS);
    let now = CLAIMED + Duration::from_secs(60);
    let mut buckets = Buckets::default();
    assert_eq!(buckets.take(now, CLAIMED, 1, limits, 100), Decision::Granted(10));
    let mut refuse = |now| match buckets.take(now, CLAIMED, 1, limits, 1) {
        Decision::Exhausted { retry_after } => retry_after,
        granted => panic!("{granted:?}"),
    };
    assert_eq!(refuse(now), ms(500));
    assert_eq!(refuse(now), ms(1_000));
    assert_eq!(refuse(now + ms(200)), ms(1_300));
    let last = (0..50).map(|_| refuse(now + ms(200))).last();
    assert_eq!(last, Some(MAX_RETRY_AFTER));
}

/// Guards against an account that keeps its earlier tokens when its quota is lowered.
#[test]
fn a_lower_quota_reduces_the_bucket() {
    let limits = |rate, burst| BucketLimits::new(Quota { rate, burst }, &LIMITS);
    let now = CLAIMED + Duration::from_secs(60);
    let mut buckets = Buckets::default();
    let high = limits(100.0, 100.0);
    assert_eq!(buckets.take(now, CLAIMED, 1, high, 1), Decision::Granted(1));
    let low = limits(2.0, 1.0);
    assert_eq!(buckets.take(now, CLAIMED, 1, low, 100), Decision::Granted(10));
}

/// Guards against state that grows with each account ever seen, and against the removal of a bucket
/// that is not full, which would give its account more than its quota.
#[test]
fn only_full_buckets_are_removed() {
    let limits = BucketLimits::new(Quota { rate: 10.0, burst: 5.0 }, &LIMITS);
    let now = CLAIMED + Duration::from_secs(60);
    let mut buckets = Buckets::default();
    for account in 0..29_000 {
        buckets.take(now, CLAIMED, account, limits, 5);
    }
    buckets.expire(now + ms(400));
    assert_eq!(buckets.len(), 29_000);
    buckets.expire(now + ms(600));
    assert!(buckets.is_empty());
}

/// Guards against a preview that takes tokens, delays the next one, or differs from the decision.
#[test]
fn a_preview_states_the_decision_and_changes_nothing() {
    let limits = BucketLimits::new(Quota { rate: 10.0, burst: 5.0 }, &LIMITS);
    let (mut previewed, mut other) = (Buckets::default(), Buckets::default());
    for buckets in [&mut previewed, &mut other] {
        // An earlier owner left tokens to one of the accounts.
        buckets.set_levels(CLAIMED, &[QuotaLevel { account: 1, tokens: 3 }]);
    }
    for step in 0..200 {
        let now = CLAIMED + ms(step * 35);
        let account = u32::from(step % 3 == 0);
        let mut preview = None;
        for _ in 0..5 {
            preview = Some(previewed.preview(now, CLAIMED, account, limits).1);
        }
        let decision = previewed.take(now, CLAIMED, account, limits, 1);
        assert_eq!(preview, Some(decision), "{now:?}");
        assert_eq!(decision, other.take(now, CLAIMED, account, limits, 1), "{now:?}");
    }
    assert!(matches!(
        previewed.preview(CLAIMED + ms(7_000), CLAIMED, 0, limits),
        (level, Decision::Granted(1)) if (1.0..=limits.capacity).contains(&level)
    ));
}

/// Guards against an owner that keeps the tokens of a shard which it has lost. Another owner may have
/// granted since, so that it has those of a new owner when it claims the shard again.
#[test]
fn a_lost_shard_leaves_no_tokens() {
    let limits = BucketLimits::new(Quota { rate: 4.0, burst: 8.0 }, &LIMITS);
    let lost = CLAIMED + Duration::from_secs(60);
    let mut buckets = Buckets::default();
    let (other, kept) = (1..)
        .map(|other| (other, shard_of(other)))
        .find(|(_, shard)| *shard != shard_of(0))
        .expect("another shard");
    for account in [0, other] {
        assert_eq!(buckets.take(lost, CLAIMED, account, limits, 1), Decision::Granted(1));
    }
    buckets.remove_shard(shard_of(0));
    let claimed = lost + Duration::from_secs(5);
    let decision = buckets.take(claimed, claimed, 0, limits, 100);
    assert!(matches!(decision, Decision::Exhausted { .. }), "{decision:?}");
    let decision = buckets.take(claimed, CLAIMED, other, limits, 100);
    assert_eq!(decision, Decision::Granted(16), "shard {kept} was not lost");
}

/// Guards against a refusal that states a time at which no token is due yet. The time is sent in
/// whole milliseconds, and a caller that came at the stated time was refused again.
#[test]
fn a_token_is_due_at_the_stated_time() {
    const ACCOUNT: u32 = 7;
    for rate in [0.7, 3.0, 10.0, 55.5] {
        let limits = BucketLimits::new(Quota { rate, burst: 0.0 }, &LIMITS);
        for offset_us in (0..3_000).step_by(37) {
            let mut buckets = Buckets::default();
            let mut now = CLAIMED + Duration::from_secs(60) + Duration::from_micros(offset_us);
            let mut take = |now| buckets.take(now, CLAIMED, ACCOUNT, limits, 1);
            let stated = loop {
                match QuotaOutcome::from(take(now)) {
                    QuotaOutcome::Exhausted { retry_after_ms } => break retry_after_ms,
                    outcome => assert_eq!(outcome, QuotaOutcome::Granted { tokens: 1 }),
                }
                now += Duration::from_micros(offset_us);
            };
            let decision = take(now + Duration::from_millis(u64::from(stated)));
            assert_eq!(decision, Decision::Granted(1), "rate {rate}, {offset_us} us, {stated} ms");
        }
    }
}
