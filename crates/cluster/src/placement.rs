//! Placement of the home of each database on an instance, by rendezvous hashing.

use crate::weight::{seed, weight};
use std::collections::BTreeMap;
use wasabiyard_model::InstanceId;

/// Number of successors of each home. With the home and the fallback, three or four instances know each group.
const SUCCESSORS: usize = 2;

/// The instances that may become homes, with their failure domains.
pub type Candidates = BTreeMap<InstanceId, String>;

/// The instances that are responsible for one database.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// The instance with the highest weight.
    pub home: InstanceId,
    /// The instance with the highest weight outside the failure domain of the home. It is used while the home is
    /// unreachable but not yet known to be dead. `None` if all candidates are in one failure domain.
    pub fallback: Option<InstanceId>,
    /// The instances with the next highest weights, in the order in which they become the home when it fails.
    pub successors: Vec<InstanceId>,
}

impl Place {
    /// The instances besides the home that keep a copy of what a home must know, so that one of them can replace it
    /// during an outage of the platform: the successors, and the fallback for the loss of a whole failure domain.
    pub fn standbys(&self) -> impl Iterator<Item = &InstanceId> {
        let fallback = self.fallback.iter().filter(|f| !self.successors.contains(f));
        self.successors.iter().chain(fallback)
    }
}

/// A change of the home of one database.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// Name of the database.
    pub database: String,
    /// Previous home, if any.
    pub from: Option<InstanceId>,
    /// New home, if any.
    pub to: Option<InstanceId>,
}

/// The homes of all databases.
///
/// An update recomputes only the databases that a change of the candidates can affect. With 860 databases and 620
/// instances a full pass would hash 533,000 names on every restart of an instance.
#[derive(Debug, Default)]
pub struct Placement {
    candidates: Candidates,
    places: BTreeMap<String, Option<Place>>,
}

impl Placement {
    /// Updates the placement for a set of databases and candidates, and returns the homes that moved.
    pub fn update(&mut self, databases: &[&str], candidates: &Candidates) -> Vec<Move> {
        let old = std::mem::replace(&mut self.candidates, candidates.clone());
        let added: Vec<_> = candidates
            .iter()
            .filter(|(id, domain)| old.get(*id) != Some(*domain))
            .collect();
        let mut places = BTreeMap::new();
        let mut moves = Vec::new();
        for &database in databases {
            let before = self.places.remove(database);
            let place = match &before {
                Some(Some(place)) if is_intact(place, &old, candidates) => {
                    Some(recheck_place(place, database, &added, candidates))
                }
                _ => compute_place(database, candidates),
            };
            record_move(&mut moves, database, before.flatten().as_ref(), place.as_ref());
            places.insert(database.to_owned(), place);
        }
        for (database, place) in std::mem::replace(&mut self.places, places) {
            record_move(&mut moves, &database, place.as_ref(), None);
        }
        moves
    }

    /// The place of one database; `None` if it is unknown or no instance may serve it.
    pub fn place(&self, database: &str) -> Option<&Place> {
        self.places.get(database)?.as_ref()
    }

    /// All databases that have a place, by name.
    pub fn places(&self) -> impl Iterator<Item = (&str, &Place)> {
        self.places
            .iter()
            .filter_map(|(db, place)| Some((db.as_str(), place.as_ref()?)))
    }
}

/// Whether a place is complete and all its instances are still candidates in the same failure domains.
fn is_intact(place: &Place, old: &Candidates, new: &Candidates) -> bool {
    let same = |id: &InstanceId| new.get(id).is_some_and(|domain| old.get(id) == Some(domain));
    place.successors.len() == SUCCESSORS
        && place.fallback.is_some()
        && same(&place.home)
        && place.standbys().all(same)
}

/// Updates an intact place for the candidates that were added.
fn recheck_place(
    place: &Place,
    database: &str,
    added: &[(&InstanceId, &String)],
    candidates: &Candidates,
) -> Place {
    let seed = seed(database);
    let rank = |id: &InstanceId| (weight(seed, id.as_str()), id.clone());
    let lowest = place.standbys().map(rank).min();
    // An added candidate with a lower weight than all of them changes nothing; otherwise all ranks may change.
    if added
        .iter()
        .any(|(id, _)| lowest.as_ref().is_none_or(|low| rank(id) > *low))
    {
        return compute_place(database, candidates).expect("there is a candidate");
    }
    place.clone()
}

/// Computes the place of one database by a full pass over the candidates.
fn compute_place(database: &str, candidates: &Candidates) -> Option<Place> {
    let seed = seed(database);
    let rank =
        |(id, domain): (&'_ InstanceId, &'_ String)| (weight(seed, id.as_str()), id.clone(), domain.clone());
    let mut ranks: Vec<_> = candidates.iter().map(rank).collect();
    ranks.sort_unstable_by(|a, b| (b.0, &b.1).cmp(&(a.0, &a.1)));
    let (_, home, domain) = ranks.first()?;
    Some(Place {
        home: home.clone(),
        fallback: ranks
            .iter()
            .find(|(_, _, d)| d != domain)
            .map(|(_, id, _)| id.clone()),
        successors: ranks[1..]
            .iter()
            .take(SUCCESSORS)
            .map(|(_, id, _)| id.clone())
            .collect(),
    })
}

fn record_move(moves: &mut Vec<Move>, database: &str, from: Option<&Place>, to: Option<&Place>) {
    let (from, to) = (from.map(|p| &p.home), to.map(|p| &p.home));
    if from != to {
        moves.push(Move {
            database: database.to_owned(),
            from: from.cloned(),
            to: to.cloned(),
        });
    }
}
