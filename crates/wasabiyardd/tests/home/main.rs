//! Tests of the home role with simulated slots over TCP.

mod faults;
mod fixture;
mod streams;
