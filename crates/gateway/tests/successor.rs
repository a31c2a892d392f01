//! Which backend server succeeds a primary, and when its promotion has taken effect.

use wasabiyard_gateway::control::{
    AcknowledgedCommits, CandidateStatus, CandidateSurvey, OldPrimaryStep, old_primary_step,
};
use wasabiyard_gateway::{Leadership, PrimaryRecord, ServerStatus};
use wasabiyard_model::{LogPoint, Term};

fn candidate(server: &str, term: u64, position: u64) -> CandidateStatus {
    CandidateStatus {
        server: server.into(),
        status: ServerStatus {
            primary: false,
            term: Term(term),
            received: LogPoint::new(term, position),
        },
        accepts_new_work: true,
        in_history: true,
    }
}

fn leaving(server: &str, term: u64, position: u64) -> CandidateStatus {
    CandidateStatus {
        accepts_new_work: false,
        ..candidate(server, term, position)
    }
}

fn survey(answered: &[CandidateStatus], unheard: &[&str]) -> CandidateSurvey {
    CandidateSurvey {
        answered: answered.to_vec(),
        unheard: unheard.iter().map(|id| (*id).into()).collect(),
    }
}

const fn commits(old_point: Option<LogPoint>, sync_replicas: u32) -> AcknowledgedCommits {
    AcknowledgedCommits {
        old_point,
        sync_replicas,
    }
}

fn chosen(survey: &CandidateSurvey, commits: AcknowledgedCommits, is_overdue: bool) -> Option<&str> {
    survey.choose(commits, is_overdue).map(|c| &*c.server)
}

/// A promotion drops acknowledged writes that the new primary lacks, so the candidate that has received most is
/// promoted.
#[test]
fn the_most_advanced_candidate_takes_over() {
    let survey = survey(
        &[
            candidate("r1", 3, 40),
            candidate("r2", 3, 41),
            candidate("r3", 2, 90),
        ],
        &[],
    );
    assert_eq!(chosen(&survey, commits(None, 0), false), Some("r2"));
}

/// The replica that holds the acknowledged commits may be the one that did not answer.
#[test]
fn a_replica_that_does_not_answer_may_hold_acknowledged_commits() {
    let survey = survey(&[candidate("r1", 3, 40)], &["r2"]);
    assert_eq!(chosen(&survey, commits(None, 1), true), None);
    assert_eq!(chosen(&survey, commits(None, 2), false), Some("r1"));
    assert_eq!(chosen(&survey, commits(None, 0), false), None);
    assert_eq!(chosen(&survey, commits(None, 0), true), Some("r1"));
}

/// Where commits survive only on the old primary, waiting longer cannot save them, but a candidate that has them needs no
/// other answer.
#[test]
fn a_candidate_that_has_caught_up_needs_no_other_answer() {
    let old_point = LogPoint::new(3, 40);
    let complete = survey(&[candidate("r1", 3, 40)], &["r2"]);
    assert_eq!(chosen(&complete, commits(Some(old_point), 1), false), Some("r1"));
    let behind = survey(&[candidate("r1", 3, 39), candidate("r2", 3, 12)], &[]);
    assert_eq!(chosen(&behind, commits(Some(old_point), 0), false), None);
    assert_eq!(chosen(&behind, commits(Some(old_point), 0), true), Some("r1"));
    // The old primary has not acknowledged what no replica has received.
    assert_eq!(chosen(&behind, commits(Some(old_point), 1), false), Some("r1"));
}

/// A server that leaves receives commits until it ends, and may be the only one that has them.
#[test]
fn a_server_that_leaves_is_promoted_only_for_what_others_lack() {
    let ahead = survey(&[leaving("r1", 3, 41), candidate("r2", 3, 40)], &[]);
    assert_eq!(chosen(&ahead, commits(None, 1), true), Some("r1"));
    let equal = survey(&[leaving("r1", 3, 41), candidate("r2", 3, 41)], &[]);
    assert_eq!(chosen(&equal, commits(None, 1), false), Some("r2"));
}

/// A former primary has commits that its successor was promoted without, and that callers have read without since. Promoted
/// again for them, it brought them back and dropped all commits of its successor.
#[test]
fn a_log_that_has_left_the_history_is_no_candidate_beside_others() {
    let former = CandidateStatus {
        in_history: false,
        ..candidate("r1", 1, 75)
    };
    let both = survey(&[former.clone(), candidate("r2", 1, 60)], &[]);
    assert_eq!(chosen(&both, commits(None, 0), false), Some("r2"));
    assert_eq!(chosen(&both, commits(None, 1), false), Some("r2"));
    let other_unheard = survey(std::slice::from_ref(&former), &["r2"]);
    assert_eq!(chosen(&other_unheard, commits(None, 0), true), None);
    let alone = survey(&[former], &[]);
    assert_eq!(chosen(&alone, commits(None, 0), false), None);
    assert_eq!(chosen(&alone, commits(None, 0), true), Some("r1"));
}

/// The record has to tell the log of a former primary from one that merely lags.
#[test]
fn a_promotion_excludes_what_it_was_made_without() {
    let promoted = |term, position| ServerStatus {
        primary: true,
        term: Term(term),
        received: LogPoint::new(term, position),
    };
    let serving = |primary: &str| Leadership::Serving {
        primary: primary.into(),
    };
    let second = PrimaryRecord::first("p".into()).after_promotion(serving("q"), &promoted(2, 74));
    let excludes =
        |record: &PrimaryRecord, term, position| record.history.excludes(LogPoint::new(term, position));
    assert!(excludes(&second, 1, 75));
    assert!(!excludes(&second, 1, 74));
    assert!(!excludes(&second, 2, 90));
    let third = second.after_promotion(serving("r"), &promoted(3, 60));
    assert!(excludes(&third, 1, 70) && excludes(&third, 2, 75));
    assert!(!excludes(&third, 1, 60) && !excludes(&third, 3, 61));
}

/// A demoted server no longer sends its log to the others, which may lack acknowledged commits.
#[test]
fn a_server_leads_until_another_one_has_its_log() {
    let point = LogPoint::new(4, 41);
    let step = |survey, sync_replicas, is_usable| old_primary_step(point, survey, sync_replicas, is_usable);
    let behind = survey(&[leaving("r1", 4, 41), candidate("r2", 3, 12)], &[]);
    assert_eq!(step(&behind, 1, false), OldPrimaryStep::KeepLeading);
    assert_eq!(step(&behind, 1, true), OldPrimaryStep::Resume);
    assert_eq!(step(&behind, 0, false), OldPrimaryStep::Demote);
    let caught_up = survey(&[candidate("r2", 4, 41)], &["r1"]);
    assert_eq!(step(&caught_up, 1, false), OldPrimaryStep::Demote);
}

/// Servers at their connection limit answer now and then, not all at the same moment.
#[test]
fn answers_of_several_surveys_count_together() {
    let mut merged = survey(&[candidate("r1", 3, 40)], &["r2"]);
    merged.merge(survey(&[candidate("r2", 3, 52)], &["r1"]));
    assert_eq!(chosen(&merged, commits(None, 1), false), Some("r2"));
    merged.merge(survey(&[candidate("r1", 3, 41)], &["r2"]));
    assert_eq!(
        merged,
        survey(&[candidate("r2", 3, 52), candidate("r1", 3, 41)], &[])
    );
    merged.merge(survey(&[], &["r1"]));
    assert_eq!(merged, survey(&[candidate("r1", 3, 41)], &[]));
}

fn status(primary: bool, term: u64) -> ServerStatus {
    ServerStatus {
        primary,
        term: Term(term),
        received: LogPoint::new(term, 10),
    }
}

/// A former primary claims its role until it hears of its successor. Taken for promoted, it got writes in its old term.
#[test]
fn a_claimed_role_is_no_promotion_until_the_term_rises() {
    let record = PrimaryRecord::first("p".into()).with_term(Term(2));
    assert!(!record.is_promoted(&status(true, 1)));
    assert!(!record.is_promoted(&status(true, 2)));
    assert!(!record.is_promoted(&status(false, 3)));
    assert!(record.is_promoted(&status(true, 3)));
}

/// An order whose answer was lost may take effect before the candidate is chosen again. If the term of that answer had to
/// be exceeded, the service would wait for good.
#[test]
fn a_promotion_that_took_effect_before_it_is_ordered_again_counts() {
    let record = PrimaryRecord::first("p".into());
    let record = record
        .clone()
        .with_term(record.term_before_promotion(&status(false, 1)));
    let promoted = status(true, 2);
    let again = record.clone().with_term(record.term_before_promotion(&promoted));
    assert!(again.is_promoted(&promoted));
}

/// A record of an earlier build names no term.
#[test]
fn a_record_without_a_term_is_read() {
    let record = serde_json::from_str(r#"{"epoch":1,"leadership":{"serving":{"primary":"p"}}}"#);
    let record: PrimaryRecord = record.expect("a record");
    assert_eq!(record, PrimaryRecord::first("p".into()));
}

/// A server that claims to be the primary of a term.
fn claimant(server: &str, term: u64, position: u64) -> CandidateStatus {
    let mut claimant = candidate(server, term, position);
    claimant.status.primary = true;
    claimant
}

/// A record of a replaced primary, which was seen to lead a term before.
fn replaced_in_term(term: u64) -> PrimaryRecord {
    let serving = Leadership::Serving { primary: "p".into() };
    let served = PrimaryRecord::first("p".into()).after_promotion(serving, &status(true, term));
    served.followed_by(Leadership::Moving { from: "p".into() })
}

fn ordered(record: &PrimaryRecord, candidate: &str) -> PrimaryRecord {
    record.promoting("p".into(), candidate.into(), &status(false, record.term.0))
}

fn leader<'a>(survey: &'a CandidateSurvey, record: &PrimaryRecord, is_overdue: bool) -> Option<&'a str> {
    survey.leader(record, is_overdue).map(|c| &*c.server)
}

/// An order to promote a primary that has come back under another id changes nothing, so its service waited for ever.
#[test]
fn a_primary_under_another_id_needs_no_promotion() {
    let record = replaced_in_term(3);
    let back = survey(&[claimant("p2", 3, 40), candidate("r1", 3, 38)], &[]);
    assert_eq!(leader(&back, &record, false), Some("p2"));
    let replicas = survey(&[candidate("r1", 3, 40), candidate("r2", 3, 41)], &[]);
    assert_eq!(leader(&replicas, &record, true), None);
}

/// A former primary that has not heard of its successor looks the same once a promotion was ordered, and got writes that were
/// lost.
#[test]
fn a_claim_to_lead_means_nothing_after_an_order() {
    let former = survey(&[claimant("p2", 3, 40)], &[]);
    assert_eq!(leader(&former, &ordered(&replaced_in_term(3), "r1"), true), None);
    assert_eq!(leader(&former, &replaced_in_term(4), true), None);
    let unknown = PrimaryRecord::first("p".into());
    assert_eq!(leader(&former, &unknown, true), None);
}

/// A server that starts again empty may claim the term that it had; the commits are with the others.
#[test]
fn a_primary_that_has_lost_its_log_does_not_lead() {
    let record = replaced_in_term(3);
    let empty = survey(&[claimant("p2", 3, 0), candidate("r1", 3, 40)], &[]);
    assert_eq!(leader(&empty, &record, true), None);
    let unheard = survey(&[claimant("p2", 3, 0)], &["r1"]);
    assert_eq!(leader(&unheard, &record, false), None);
}

/// The answer to an order was lost and another candidate is looked for, but the first one leads by now. Ordering again would
/// replace it for nothing.
#[test]
fn a_server_that_was_promoted_before_a_new_look_leads() {
    let record = ordered(&replaced_in_term(3), "r1");
    let promoted = survey(&[claimant("p2", 3, 40), claimant("r1", 4, 38)], &["r2"]);
    assert_eq!(leader(&promoted, &record, false), Some("r1"));
}

/// An accepted order that changes nothing shows that the candidate is the primary, unless somebody knows a later term.
#[test]
fn an_accepted_order_without_effect_shows_who_leads() {
    let record = ordered(&replaced_in_term(3), "p2");
    let leads = |answered: &[CandidateStatus]| {
        let survey = survey(answered, &["r2"]);
        survey
            .leader_despite_order(&record, "p2")
            .map(|c| c.server.to_string())
    };
    assert_eq!(
        leads(&[claimant("p2", 3, 40), candidate("r1", 3, 38)]).as_deref(),
        Some("p2")
    );
    assert_eq!(leads(&[claimant("p2", 3, 40), candidate("r1", 4, 38)]), None);
    assert_eq!(leads(&[claimant("p2", 2, 40)]), None);
    assert_eq!(leads(&[candidate("p2", 3, 40)]), None);
    assert_eq!(leads(&[]), None);
}

/// A term that goes on begins no branch: commits that were dropped before stay dropped.
#[test]
fn a_primary_that_comes_back_keeps_the_history() {
    let second = replaced_in_term(2);
    let serving = Leadership::Serving { primary: "p2".into() };
    let back = second.after_look(serving, &claimant("p2", 2, 90).status);
    assert_eq!(back.history, second.history);
    assert_eq!((back.term, back.is_term_current), (Term(2), true));
    assert!(back.history.excludes(LogPoint::new(1, 50)));
}

/// An order for one candidate may never take effect while another candidate could lead.
#[test]
fn candidates_take_turns_after_orders_without_effect() {
    let mut record = replaced_in_term(3);
    let both = survey(&[candidate("r1", 3, 41), candidate("r2", 3, 40)], &[]);
    let next = |record: &PrimaryRecord, is_overdue| {
        let avoided = record.fruitless_candidate().map(|c| &**c);
        let chosen = both.choose_besides(avoided, commits(None, 0), is_overdue);
        chosen.map(|c| c.server.to_string())
    };
    for _ in 0..3 {
        assert_eq!(next(&record, true).as_deref(), Some("r1"));
        record = ordered(&record, "r1");
    }
    assert_eq!(next(&record, false), None);
    assert_eq!(next(&record, true).as_deref(), Some("r2"));
    record = ordered(&record, "r2");
    assert_eq!(next(&record, true).as_deref(), Some("r1"));
    let only = survey(&[candidate("r1", 3, 41)], &[]);
    let avoided = only.choose_besides(Some("r1"), commits(None, 0), true);
    assert_eq!(avoided.map(|c| &*c.server), Some("r1"));
    // Commits that have to survive go before the turn.
    let kept = both.choose_besides(Some("r1"), commits(None, 1), true);
    assert_eq!(kept.map(|c| &*c.server), Some("r1"));
}
