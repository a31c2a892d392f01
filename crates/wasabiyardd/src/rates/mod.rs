//! The rate limiter of organisations.
//!
//! The instances divide the rate and burst of each organisation among them in share units; an instance refills its
//! tokens by the part of the rate that its units stand for. Units move to instances with demand.
//!
//! Traffic threads take tokens from atomic pools with [`RateLimiter::try_take`], without a lock. One thread, the rate
//! limiter thread, runs the state machine of `wasabiyard_quota`: it ticks every 100 ms, handles quota messages of peers
//! and responses of the platform, and moves tokens between the state machine and the pools. Platform calls run as tasks
//! on the same thread, so a slow platform never delays a tick.

mod dependencies;
mod handle;
mod platform_client;
mod rate_limiter;
mod rate_loop;
mod token_pool;

pub use dependencies::{Peer, PeerSource, RateLimiterDependencies, RateLimiterSettings};
pub use handle::{RateLimiterHandle, SpawnError};
pub use rate_limiter::{RateLimiter, TokenAttempt};
