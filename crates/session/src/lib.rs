//! Session consistency (read-your-writes) and bounded staleness: which slot of a database may serve a read.
//!
//! A caller takes its [`SessionToken`] along when it connects to another instance. For each database the token holds
//! the log point of the last write of the session. A slot may serve a read only after it has proved, on the connection
//! that runs the read, that its own history contains that point; [`ReadPlan`] decides the order in which slots are
//! tried. Reads with a staleness bound use [`PositionSamples`] instead: positions that the primary had reached, with
//! the time at which they were requested, on the clock of the instance that requested them.

mod position_samples;
mod read_plan;
mod session_id;
mod session_token;
mod session_token_error;

pub use position_samples::{PositionSample, PositionSamples};
pub use read_plan::{ReadAttempt, ReadCandidate, ReadPlan};
pub use session_id::SessionId;
pub use session_token::{MAX_SESSION_TOKEN_BYTES, SessionToken};
pub use session_token_error::SessionTokenError;
