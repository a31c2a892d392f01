//! Session consistency: what a session has seen, and which slot may serve its next read.
//!
//! A caller carries a [`SessionToken`] between instances. It names, per database, the last log point that the session must
//! see. A slot may serve a read only after it proved, on the connection that runs the read, that its own history holds
//! that point; [`ReadPlan`] decides in which order slots are asked. Reads that accept data of a stated age need an
//! [`PositionSample`]: a position that the primary had reached at a time that the home read on its own clock.

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
