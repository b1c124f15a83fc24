//! What to do with a connection.

use pomeloramp_proc_macros::key;

/// What to do with a connection that is watched for silence.
#[key]
pub enum ConnectionAction {
    /// Leave it alone.
    Keep,
    /// Send a ping, which the other end answers.
    Ping,
    /// Close it and open another.
    Replace,
}
