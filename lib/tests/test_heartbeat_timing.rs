//! Tests of the heartbeat interval under a limit on bytes.

use googletest::prelude::*;
use pomeloramp_lib::HeartbeatTiming;

const CONFIGURED: HeartbeatTiming = HeartbeatTiming {
    interval_ms: 500,
    suspect_after_ms: 2_000,
};
const MAX_BYTES_PER_S: u64 = 3_000;

#[googletest::test]
fn a_few_vms_keep_the_configured_timing() {
    expect_that!(
        CONFIGURED.within_byte_rate(6, MAX_BYTES_PER_S),
        eq(CONFIGURED)
    );
    expect_that!(
        CONFIGURED.within_byte_rate(0, MAX_BYTES_PER_S),
        eq(CONFIGURED)
    );
}

#[googletest::test]
fn many_vms_stay_within_the_byte_rate_and_are_given_three_heartbeats() {
    for vms in [7, 19, 32, 176, 1_300] {
        let timing = CONFIGURED.within_byte_rate(vms, MAX_BYTES_PER_S);
        let bytes_per_s = vms as u64 * 226 * 1_000 / timing.interval_ms;
        expect_that!(bytes_per_s, le(MAX_BYTES_PER_S), "{vms} VMs");
        expect_that!(
            timing.suspect_after_ms,
            ge(3 * timing.interval_ms),
            "{vms} VMs"
        );
    }
}
