//! Tests of the watch for silent connections.

use googletest::prelude::*;
use pomeloramp_lib::ConnectionAction;
use pomeloramp_lib::SilentConnection;
use proptest::prelude::prop;
use proptest::prelude::proptest;

#[googletest::test]
fn pings_then_replaces() {
    let mut connection = SilentConnection::new(1_000, 500, 0);
    expect_that!(connection.poll(999), eq(ConnectionAction::Keep));
    expect_that!(connection.poll(1_000), eq(ConnectionAction::Ping));
    expect_that!(connection.poll(1_499), eq(ConnectionAction::Keep));
    expect_that!(connection.poll(1_500), eq(ConnectionAction::Replace));
    expect_that!(connection.next_poll_ms(), none());
    expect_that!(connection.poll(9_000), eq(ConnectionAction::Keep));
}

#[googletest::test]
fn any_byte_keeps_the_connection() {
    let mut connection = SilentConnection::new(1_000, 500, 0);
    expect_that!(connection.poll(1_000), eq(ConnectionAction::Ping));
    connection.observe_received(1_400);
    expect_that!(connection.poll(1_500), eq(ConnectionAction::Keep));
    expect_that!(connection.next_poll_ms(), some(eq(2_400)));
}

#[googletest::test]
fn a_paused_process_pings_again_first() {
    let mut connection = SilentConnection::new(1_000, 500, 0);
    expect_that!(connection.poll(1_000), eq(ConnectionAction::Ping));
    expect_that!(connection.poll(61_000), eq(ConnectionAction::Ping));
    connection.observe_received(61_001);
    expect_that!(connection.poll(61_500), eq(ConnectionAction::Keep));
}

proptest! {
    /// From the last byte on, a connection is replaced within the stated bound, and one whose
    /// pings are answered in time is never replaced.
    #[test]
    fn replaces_silent_connections_within_the_bound(
        ping_after_ms in 1_u64..2_000,
        ping_timeout_ms in 2_u64..1_000,
        lags_ms in prop::collection::vec(0_u64..400, 1..40),
        dies_after_pings in 0_usize..5,
    ) {
        let mut connection = SilentConnection::new(ping_after_ms, ping_timeout_ms, 0);
        let mut received_ms = 0;
        let mut pings = 0;
        let mut lag_ms = 0;
        let mut is_replaced = false;
        for lag in lags_ms.iter().cycle().take(100).map(|lag| lag % ping_timeout_ms) {
            let now_ms = connection.next_poll_ms().unwrap() + lag;
            lag_ms += lag;
            match connection.poll(now_ms) {
                ConnectionAction::Keep => {}
                ConnectionAction::Ping if pings < dies_after_pings => {
                    pings += 1;
                    received_ms = now_ms + ping_timeout_ms - 1;
                    connection.observe_received(received_ms);
                    lag_ms = 0;
                }
                ConnectionAction::Ping => pings += 1,
                ConnectionAction::Replace => {
                    assert_that!(pings, eq(dies_after_pings + 1));
                    let silent_ms = now_ms - received_ms;
                    assert_that!(silent_ms, le(ping_after_ms + ping_timeout_ms + lag_ms));
                    is_replaced = true;
                    break;
                }
            }
        }
        assert_that!(is_replaced, eq(true));
    }
}
