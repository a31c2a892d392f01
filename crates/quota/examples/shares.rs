//! Compares share units that move with demand to static equal shares, under skewed demand.
//!
//! Usage: `cargo run --release -p wasabiyard-quota --example shares -- [SECONDS]`. Each instance of the fleet is the
//! state machine that the daemon runs; the network, the platform and the traffic are simulated in virtual time. A
//! refusal is counted as false when a central bucket of the organisation's rate and burst would have admitted the
//! statement.

#[path = "../tests/simulation/mod.rs"]
mod simulation;

use rand::Rng;
use simulation::{OrganisationLimits, STEP, Simulation};
use std::time::Duration;
use wasabiyard_model::Time;

const WARM_UP: Duration = Duration::from_secs(20);
/// Fraction of its rate that an organisation uses when it stays within the rate.
const NORMAL_RATE_FRACTION: f64 = 0.8;
/// Index of the organisation that sends five times its rate (the noisy neighbour).
const NOISY_NEIGHBOUR: usize = 0;
/// Interval at which the skewed demand moves to other instances.
const SKEW_SHIFT_SECONDS: u64 = 30;

#[derive(Debug, Clone, Copy, Default)]
struct StatementCounts {
    sent: u64,
    served: u64,
    false_refusals: u64,
}

impl StatementCounts {
    fn add(&mut self, served: bool, admitted_centrally: bool) {
        self.sent += 1;
        self.served += u64::from(served);
        self.false_refusals += u64::from(!served && admitted_centrally);
    }

    fn false_refusal_percent(&self) -> f64 {
        100.0 * self.false_refusals as f64 / self.sent.max(1) as f64
    }
}

/// A token bucket, used as the central reference and for the static shares.
#[derive(Debug, Clone, Copy)]
struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
}

impl TokenBucket {
    fn new(rate: f64, burst: f64) -> Self {
        Self {
            rate,
            burst,
            level: burst,
        }
    }

    fn refill(&mut self) {
        self.level = (self.level + self.rate * STEP.as_secs_f64()).min(self.burst);
    }

    fn take(&mut self) -> bool {
        let taken = self.level >= 1.0;
        if taken {
            self.level -= 1.0;
        }
        taken
    }
}

fn organisations() -> Vec<OrganisationLimits> {
    let rates = [500, 2_000, 500, 500, 200, 200, 100, 100];
    let limits = |(i, rate): (usize, &u32)| OrganisationLimits {
        name: format!("org-{i}"),
        rate: *rate,
        burst: rate * 2,
    };
    rates.iter().enumerate().map(limits).collect()
}

/// Draws an instance with Zipf weights. The ranking of the instances depends on the time and the organisation.
fn draw_instance(simulation: &mut Simulation, o: usize, cumulative: &[f64]) -> usize {
    let draw = simulation
        .rng
        .random_range(0.0..*cumulative.last().expect("instances"));
    let rank = cumulative.partition_point(|sum| *sum <= draw);
    let shift = (simulation.now.as_micros() / 1_000_000 / SKEW_SHIFT_SECONDS) as usize;
    (rank + o * 3 + shift * 5) % cumulative.len()
}

fn arrivals(simulation: &mut Simulation, per_second: f64) -> u32 {
    // Poisson by Knuth's method; the mean of one step is small.
    let limit = (-per_second * STEP.as_secs_f64()).exp();
    let (mut count, mut product) = (0, simulation.rng.random_range(0.0..1.0));
    while product > limit {
        count += 1;
        product *= simulation.rng.random_range(0.0..1.0);
    }
    count
}

fn measure(instances: usize, seconds: u64) {
    let declared = organisations();
    let mut simulation = Simulation::new(7, instances, &declared);
    let cumulative: Vec<f64> = (1..=instances)
        .scan(0.0, |sum, rank| {
            *sum += 1.0 / rank as f64;
            Some(*sum)
        })
        .collect();
    let static_bucket = |d: &OrganisationLimits| {
        TokenBucket::new(
            f64::from(d.rate) / instances as f64,
            f64::from(d.burst) / instances as f64,
        )
    };
    let mut static_buckets: Vec<Vec<TokenBucket>> = declared
        .iter()
        .map(|d| vec![static_bucket(d); instances])
        .collect();
    let mut central_buckets: Vec<TokenBucket> = declared
        .iter()
        .map(|d| TokenBucket::new(f64::from(d.rate), f64::from(d.burst)))
        .collect();
    let (mut moving_counts, mut static_counts) = (
        vec![StatementCounts::default(); declared.len()],
        vec![StatementCounts::default(); declared.len()],
    );
    while simulation.now < Time::ZERO + WARM_UP + Duration::from_secs(seconds) {
        simulation.step();
        let is_measured = simulation.now >= Time::ZERO + WARM_UP;
        if is_measured && !simulation.measure_bytes {
            (simulation.measure_bytes, simulation.messages) = (true, 0);
        }
        static_buckets
            .iter_mut()
            .flatten()
            .chain(&mut central_buckets)
            .for_each(TokenBucket::refill);
        for o in 0..declared.len() {
            let load = if o == NOISY_NEIGHBOUR {
                5.0
            } else {
                NORMAL_RATE_FRACTION
            };
            for _ in 0..arrivals(&mut simulation, f64::from(declared[o].rate) * load) {
                let index = draw_instance(&mut simulation, o, &cumulative);
                let admitted_centrally = central_buckets[o].take();
                let served = simulation.try_take(index, o);
                let served_statically = static_buckets[o][index].take();
                if is_measured {
                    moving_counts[o].add(served, admitted_centrally);
                    static_counts[o].add(served_statically, admitted_centrally);
                }
            }
        }
    }
    assert_eq!(simulation.violation, None);
    report(instances, seconds, &simulation, &moving_counts, &static_counts);
}

fn report(
    instances: usize,
    seconds: u64,
    simulation: &Simulation,
    moving_counts: &[StatementCounts],
    static_counts: &[StatementCounts],
) {
    let within_rate = |counts: &[StatementCounts]| {
        counts[1..]
            .iter()
            .fold(StatementCounts::default(), |sum, c| StatementCounts {
                sent: sum.sent + c.sent,
                served: sum.served + c.served,
                false_refusals: sum.false_refusals + c.false_refusals,
            })
    };
    let worst = |counts: &[StatementCounts]| {
        counts[1..]
            .iter()
            .map(StatementCounts::false_refusal_percent)
            .fold(0.0, f64::max)
    };
    let neighbour = |counts: &[StatementCounts]| counts[NOISY_NEIGHBOUR].served as f64 / seconds as f64;
    let rate = f64::from(simulation.organisations[NOISY_NEIGHBOUR].rate);
    println!("{instances} instances, {seconds} s");
    for (name, counts) in [("moving", moving_counts), ("equal", static_counts)] {
        println!(
            "  {name:7} false refusals within the rate {:.4} %, worst organisation {:.4} %, noisy neighbour is served {:.1} of {rate}/s",
            within_rate(counts).false_refusal_percent(),
            worst(counts),
            neighbour(counts),
        );
    }
    let instance_seconds = seconds as f64 * instances as f64;
    println!(
        "  sent by one instance: {:.1} messages/s, {:.0} bytes/s",
        simulation.messages as f64 / instance_seconds,
        simulation.bytes as f64 / instance_seconds
    );
}

fn main() {
    let seconds = std::env::args()
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(120);
    for instances in [7, 100] {
        measure(instances, seconds);
    }
}
