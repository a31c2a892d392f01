//! Two requesters of one tenant prepare statements of different shapes, for which the instance chooses the same name on a
//! database connection.

use crate::caller::Session;
use crate::fleet::{DATABASE, Fleet};
use crate::{Run, Verdict};

const ROUNDS: usize = 20;
const SHAPE: &str = "j0dklo4";
/// Another shape with the same XXH3 hash as [`SHAPE`]. It took 6 s of one core to find the two.
const SHAPE_WITH_EQUAL_HASH: &str = "a0250y4x";
const SHAPE_WITH_OTHER_HASH: &str = "a0250y4y";

pub fn run(run: &Run<'_>) -> std::io::Result<Verdict> {
    let fleet = Fleet::open(run, 1)?;
    let record = &fleet.record;
    let other_shape = if run.trouble {
        SHAPE_WITH_EQUAL_HASH
    } else {
        SHAPE_WITH_OTHER_HASH
    };
    let address = fleet.nodes[0].callers;
    let mut requesters = [
        ("first", SHAPE, Session::open(address, DATABASE)?),
        ("second", other_shape, Session::open(address, DATABASE)?),
    ];
    for (name, shape, session) in &mut requesters {
        let (_, result, _) = session.run(&format!("prepare-{name}"), &format!("PREPARE s1 WRITE {shape}"))?;
        record.line(&format!("{name}: PREPARE s1 WRITE {shape}: {result}"));
    }
    let mut expected = Vec::new();
    for round in 0..ROUNDS {
        for (name, shape, session) in &mut requesters {
            let id = format!("{name}-{round}");
            let text = format!("EXECUTE s1 item-{name} {round}");
            let (_, result, _) = session.run(&id, &text)?;
            record.line(&format!("{name}: QUERY {id} {text}: {result}"));
            expected.push((id, *shape, result));
        }
    }
    let executions = fleet.service.executions();
    let (mut acknowledged, mut wrong) = (0, 0);
    for (id, shape, result) in &expected {
        acknowledged += usize::from(result.starts_with("COMPLETE "));
        for ran in executions.iter().filter(|e| e.id == *id && e.shape != *shape) {
            wrong += 1;
            record.line(&format!(
                "PINNED broken: {id} was prepared as {shape}; {} ran {} under the name {}",
                ran.server, ran.shape, ran.name
            ));
        }
    }
    record.line(&format!(
        "{} executions, {acknowledged} acknowledged, {wrong} with another shape",
        expected.len()
    ));
    Ok(if wrong > 0 { Verdict::Broken } else { Verdict::Held })
}
