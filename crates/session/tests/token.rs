//! Guards against a token that loses writes of its session or is accepted for another organisation.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use wasabiyard_model::LogPoint;
use wasabiyard_session::{MAX_SESSION_TOKEN_BYTES, SessionId, SessionToken, SessionTokenError};

const KEY: &[u8] = b"key of the test";

fn token(organisation: &str) -> SessionToken {
    SessionToken::empty(organisation, SessionId::random(&mut Pcg64Mcg::seed_from_u64(1)))
}

#[test]
fn token_of_another_organisation_is_refused() {
    let text = token("zoo-riga").encode(KEY);
    assert_eq!(
        SessionToken::decode(&text, "zoo-cesis", KEY),
        Err(SessionTokenError::OtherOrganisation)
    );
}

#[test]
fn token_under_another_key_is_refused() {
    let text = token("zoo-riga").encode(b"other key");
    assert_eq!(
        SessionToken::decode(&text, "zoo-riga", KEY),
        Err(SessionTokenError::NotAuthentic)
    );
}

#[test]
fn oversized_token_is_refused_before_it_is_decoded() {
    let text = "A".repeat(MAX_SESSION_TOKEN_BYTES + 1);
    assert_eq!(
        SessionToken::decode(&text, "zoo-riga", KEY),
        Err(SessionTokenError::TooLong)
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: RngSeed::Fixed(41), ..ProptestConfig::default() })]

    /// Guards against a point that decreases when commits are acknowledged out of order.
    #[test]
    fn points_never_decrease(commits in prop::collection::vec((0_u8..3, 0_u64..5, 0_u64..50), 0..40)) {
        let mut token = token("zoo-riga");
        let mut greatest = std::collections::BTreeMap::new();
        for (db, term, position) in commits {
            let (db, point) = (format!("riga-{db}"), LogPoint::new(term, position));
            token.advance(&db, point);
            let expected = greatest.entry(db.clone()).or_insert(point);
            *expected = point.max(*expected);
            prop_assert_eq!(token.point(&db), Some(*expected));
        }
        let decoded = SessionToken::decode(&token.encode(KEY), "zoo-riga", KEY);
        prop_assert_eq!(decoded, Ok(token));
    }

    /// Guards against a modified token that passes as authentic, and against a panic on arbitrary text.
    #[test]
    fn changed_or_random_text_is_refused(text in "[A-Za-z0-9_-]{0,200}", at in 0_usize..60) {
        prop_assert!(SessionToken::decode(&text, "zoo-riga", KEY).is_err());
        let mut changed = token("zoo-riga").encode(KEY).into_bytes();
        let at = at % changed.len();
        changed[at] = if changed[at] == b'A' { b'B' } else { b'A' };
        let changed = String::from_utf8(changed).unwrap();
        prop_assert!(SessionToken::decode(&changed, "zoo-riga", KEY).is_err());
    }
}
