//! The admin interface of a group, over HTTP.

use super::group_state::Group;
use super::log::Record;
use crate::http::{DroppedResponse, Handler, HttpRequest, HttpResponse};
use hyper::{Method, StatusCode};
use serde_json::{Map, Value, json};
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Serves `GET /health`, `GET /status`, `GET /log?slot=S` and `POST /faults`.
#[derive(Debug)]
pub struct GroupAdmin(Arc<Group>);

impl GroupAdmin {
    /// Serves the state of `group`.
    pub const fn new(group: Arc<Group>) -> Self {
        Self(group)
    }

    fn status(&self) -> Value {
        let slots = self.0.members.iter().map(|member| {
            json!({
                "status": member.slot().status(),
                "faults": member.faults(),
                "connections": member.connections.load(Ordering::Relaxed),
                "statements": member.statements.load(Ordering::Relaxed),
                "refused_connections": member.refused_connections.load(Ordering::Relaxed),
            })
        });
        json!({ "slots": slots.collect::<Vec<_>>() })
    }

    /// All records of the slot's log, from which the soak test of the bench checks the history of the data.
    fn log(&self, slot: &str) -> HttpResponse {
        match self.0.index_of(slot) {
            Some(index) => {
                let slot = self.0.slot(index);
                let records: Vec<Value> = slot.log.records().map(record_json).collect();
                HttpResponse::ok(&json!({ "records": records }))
            }
            None => HttpResponse::err(StatusCode::NOT_FOUND, "no such slot"),
        }
    }

    /// Applies the faults in `body` to the slot that it names, or to all slots. Changes nothing on an error.
    fn set_faults(&self, body: &[u8]) -> Result<Value, String> {
        let mut changes: Map<String, Value> = serde_json::from_slice(body).map_err(|e| e.to_string())?;
        let slots = match changes.remove("slot") {
            None => 0..self.0.len(),
            Some(name) => {
                let index = name.as_str().and_then(|name| self.0.index_of(name));
                let index = index.ok_or_else(|| format!("no slot {name}"))?;
                index..index + 1
            }
        };
        let faults = slots.map(|index| {
            let faults = self.0.faults(index).with_changes(&changes)?;
            Ok((index, faults))
        });
        let faults: Result<Vec<_>, serde_json::Error> = faults.collect();
        for (index, faults) in faults.map_err(|e| e.to_string())? {
            log::info!("s{index}: faults set: {faults:?}");
            self.0.set_faults(index, faults);
        }
        Ok(json!({}))
    }
}

impl Handler for GroupAdmin {
    async fn handle(&self, req: HttpRequest) -> Result<HttpResponse, DroppedResponse> {
        let response = match (&req.method, req.path.as_str()) {
            (&Method::GET, "/health") => HttpResponse::ok(&json!({ "ready": true })),
            (&Method::GET, "/status") => HttpResponse::ok(&self.status()),
            (&Method::GET, "/log") => self.log(req.query_text("slot")),
            (&Method::POST, "/faults") => match self.set_faults(&req.body) {
                Ok(response) => HttpResponse::ok(&response),
                Err(reason) => HttpResponse::err(StatusCode::BAD_REQUEST, &reason),
            },
            _ => HttpResponse::err(StatusCode::NOT_FOUND, "no such call"),
        };
        Ok(response)
    }
}

fn record_json(record: &Record) -> Value {
    let changes = record.changes.iter().map(|change| {
        json!({
            "organisation": &*change.organisation,
            "table": change.table,
            "key": &*change.key,
            "value": change.value.as_ref().map(|value| value.as_text().to_string()),
        })
    });
    json!({ "term": record.term, "changes": changes.collect::<Vec<_>>() })
}
