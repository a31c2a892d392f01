//! Combines the status pages of instances into one view of the fleet.

use crate::table::{format_table, row};
use crate::{CtlError, Report};
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::net::SocketAddr;

/// Admin address of an instance, with the body of the page requested from it or the error of the request.
pub type AdminResponse = (SocketAddr, Result<String, CtlError>);

/// The fields of a status page that the tables show.
#[derive(Debug, Deserialize)]
struct StatusPage {
    instance: String,
    admission: String,
    manifest_version: u64,
    out_of_service_version: u64,
    relay: bool,
    members: Vec<Member>,
    databases: Vec<Database>,
}

/// A member of the fleet as the reporting instance sees it.
#[derive(Debug, Deserialize)]
struct Member {
    instance: String,
    state: String,
    failure_domain: String,
    in_service: bool,
}

/// A database as the reporting instance sees it. The home is empty when there is none; term and primary are absent
/// when the instance does not know them.
#[derive(Debug, Deserialize)]
struct Database {
    #[serde(rename = "database")]
    name: String,
    home: String,
    term: Option<u64>,
    primary: Option<String>,
}

/// Combines `/status` pages into a table of instances and a table of databases. Where instances report different
/// homes, failure domains or states, the cell shows all of them; a database's term and primary are those of the highest
/// term. Instances that do not respond are listed below the tables.
///
/// # Errors
///
/// When no instance responds with a valid page.
pub fn status_report(responses: Vec<AdminResponse>) -> Result<Report, CtlError> {
    let mut pages = Vec::new();
    let mut failures = Vec::new();
    let mut json = Vec::new();
    for (address, response) in responses {
        match response.and_then(|text| parse_page(address, &text)) {
            Ok((page, value)) => {
                json.push(json!({ "address": address, "status": value }));
                pages.push(page);
            }
            Err(e) => {
                json.push(json!({ "address": address, "error": e.to_string() }));
                failures.push(e.to_string());
            }
        }
    }
    if pages.is_empty() {
        return Err(CtlError::NoAdminResponse {
            reasons: failures.join("; "),
        });
    }
    let mut text = format!("{}\n{}", instance_table(&pages), database_table(&pages));
    for e in &failures {
        writeln!(text, "{e}").expect("writing to a string cannot fail");
    }
    Ok(Report {
        text,
        json: json.into(),
    })
}

fn parse_page(address: SocketAddr, text: &str) -> Result<(StatusPage, Value), CtlError> {
    let malformed = |e: serde_json::Error| CtlError::AdminRequest {
        address,
        reason: format!("not a status page: {e}"),
    };
    let value: Value = serde_json::from_str(text).map_err(malformed)?;
    let page = StatusPage::deserialize(&value).map_err(malformed)?;
    Ok((page, value))
}

fn instance_table(pages: &[StatusPage]) -> String {
    let mut rows = vec![row([
        "INSTANCE",
        "DOMAIN",
        "SEEN AS",
        "SERVICE",
        "ADMISSION",
        "MANIFEST",
        "OUT-OF-SERVICE",
        "RELAY",
    ])];
    let names: BTreeSet<&str> = pages
        .iter()
        .flat_map(|p| &p.members)
        .map(|m| m.instance.as_str())
        .collect();
    for name in names {
        let views: Vec<_> = pages
            .iter()
            .flat_map(|p| &p.members)
            .filter(|m| m.instance == name)
            .collect();
        let own_page = pages.iter().find(|p| p.instance == name);
        let text = |field: &dyn Fn(&StatusPage) -> String| own_page.map_or_else(|| "-".to_owned(), field);
        rows.push(vec![
            name.to_owned(),
            join_distinct(views.iter().map(|m| m.failure_domain.as_str())),
            join_distinct(views.iter().map(|m| m.state.as_str())),
            join_distinct(views.iter().map(|m| if m.in_service { "in" } else { "out" })),
            text(&|p| p.admission.clone()),
            text(&|p| p.manifest_version.to_string()),
            text(&|p| p.out_of_service_version.to_string()),
            text(&|p| if p.relay { "yes" } else { "no" }.to_owned()),
        ]);
    }
    format_table(&rows)
}

fn database_table(pages: &[StatusPage]) -> String {
    let mut by_name: BTreeMap<&str, Vec<&Database>> = BTreeMap::new();
    for database in pages.iter().flat_map(|p| &p.databases) {
        by_name.entry(&database.name).or_default().push(database);
    }
    let mut rows = vec![row(["DATABASE", "HOME", "TERM", "PRIMARY"])];
    for (name, views) in by_name {
        let newest = views.iter().filter(|d| d.term.is_some()).max_by_key(|d| d.term);
        let term = newest
            .and_then(|d| d.term)
            .map_or_else(|| "-".to_owned(), |t| t.to_string());
        let primary = newest.and_then(|d| d.primary.as_deref()).unwrap_or("-");
        let homes = join_distinct(views.iter().map(|d| {
            if d.home.is_empty() {
                "none"
            } else {
                d.home.as_str()
            }
        }));
        rows.push(vec![name.to_owned(), homes, term, primary.to_owned()]);
    }
    format_table(&rows)
}

/// Joins the distinct values in sorted order, separated by `|`.
fn join_distinct<'a>(views: impl Iterator<Item = &'a str>) -> String {
    let views: BTreeSet<&str> = views.collect();
    views.into_iter().collect::<Vec<_>>().join("|")
}
