//! Benchmarks, soak tests and a demonstration, which run stand-ins and daemons as processes on the loopback network.
//!
//! Only test tools start processes; `wasabiyardd` and `wasabiyardctl` never do.

pub mod bench_error;
pub mod compare;
pub mod demo;
pub mod launcher;
pub mod load;
pub mod slopes;
pub mod soak;
pub mod sql;
