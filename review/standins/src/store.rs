//! Stand-in of the platform: the object store, and the service that promotes databases. Each has a port of its own.

use crate::database::Group;
use crate::json;
use crate::record::Record;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct Objects {
    revision: u64,
    /// Revision and raw content by kind and name.
    by_key: BTreeMap<(String, String), (u64, String)>,
}

/// Handle to the store; clones share its content.
#[derive(Clone)]
pub struct Store {
    objects: Arc<Mutex<Objects>>,
    record: Record,
}

/// What the promotion service does with an order.
pub type Promote = Arc<dyn Fn(&Group, &str, u64) -> u16 + Send + Sync>;

struct HttpRequest {
    method: String,
    path: String,
    query: String,
    headers: Vec<(String, String)>,
    body: String,
}

impl Store {
    pub fn new(record: Record) -> Self {
        Self {
            objects: Arc::default(),
            record,
        }
    }

    /// Writes an object as operators and databases do. The return is the acknowledgement.
    pub fn write(&self, kind: &str, name: &str, spec: &str) {
        let mut objects = self.objects.lock().unwrap();
        objects.revision += 1;
        let revision = objects.revision;
        objects
            .by_key
            .insert((kind.to_owned(), name.to_owned()), (revision, spec.to_owned()));
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut objects = self.objects.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if objects.by_key.remove(&key).is_some() {
            objects.revision += 1;
        }
    }

    /// Serves the store on a free port of the loopback interface.
    pub fn listen(&self) -> std::io::Result<SocketAddr> {
        let store = self.clone();
        serve(move |req| {
            thread::sleep(ANSWER_TIME);
            store.handle(req)
        })
    }

    fn handle(&self, req: &HttpRequest) -> (u16, String) {
        let Some(rest) = req.path.strip_prefix("/wasabiyard/objects/") else {
            return (404, "null".to_owned());
        };
        let mut objects = self.objects.lock().unwrap();
        match (req.method.as_str(), rest.split_once('/')) {
            ("GET", None) if query_value(&req.query, "watch").is_some() => (410, "null".to_owned()),
            ("GET", None) => (200, objects.list(rest, query_value(&req.query, "after"))),
            ("GET", Some((kind, name))) => objects.get(kind, name),
            ("POST", None) => {
                let name = json::field(&req.body, "meta").and_then(|m| json::string(m, "name"));
                let name = name.unwrap_or_default().to_owned();
                self.record.line(&format!("store POST {rest}/{name} {}", req.body));
                objects.write_if(rest, &name, Some(0), json::field(&req.body, "spec"))
            }
            ("PUT", Some((kind, name))) => {
                let meta = json::field(&req.body, "meta").unwrap_or("{}");
                let revision = json::field(meta, "revision").and_then(|r| r.parse().ok());
                if name != "duty" {
                    self.record.line(&format!("store PUT {kind}/{name} {}", req.body));
                }
                objects.write_if(kind, name, revision, json::field(&req.body, "spec"))
            }
            ("DELETE", Some((kind, name))) => {
                let revision = query_value(&req.query, "revision").and_then(|r| r.parse().ok());
                objects.write_if(kind, name, revision, None)
            }
            _ => (404, "null".to_owned()),
        }
    }
}

impl Objects {
    fn list(&self, kind: &str, after: Option<&str>) -> String {
        let items = self
            .by_key
            .iter()
            .filter(|((k, name), _)| k == kind && after.is_none_or(|after| name.as_str() > after));
        let items: Vec<_> = items.map(|((_, name), (r, spec))| document(name, *r, spec)).collect();
        format!(
            "{{\"items\":[{}],\"has_more\":false,\"at_revision\":{}}}",
            items.join(","),
            self.revision
        )
    }

    fn get(&self, kind: &str, name: &str) -> (u16, String) {
        match self.by_key.get(&(kind.to_owned(), name.to_owned())) {
            Some((revision, spec)) => (200, document(name, *revision, spec)),
            None => (404, "null".to_owned()),
        }
    }

    fn write_if(&mut self, kind: &str, name: &str, expected: Option<u64>, spec: Option<&str>) -> (u16, String) {
        let key = (kind.to_owned(), name.to_owned());
        let known = self.by_key.get(&key).map_or(0, |(r, _)| *r);
        if expected.is_some_and(|e| e != known) {
            return match self.get(kind, name) {
                (200, object) => (409, object),
                missing => missing,
            };
        }
        if known == 0 && expected != Some(0) {
            return (404, "null".to_owned());
        }
        match spec {
            Some(spec) if self.by_key.get(&key).is_some_and(|(_, s)| s == spec) => self.get(kind, name),
            Some(spec) => {
                self.revision += 1;
                self.by_key.insert(key, (self.revision, spec.to_owned()));
                self.get(kind, name)
            }
            None => {
                self.revision += 1;
                self.by_key.remove(&key);
                (200, "null".to_owned())
            }
        }
    }
}

fn document(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\"finalizers\":[],\
         \"deletion_pending\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let pairs = query.split('&').filter_map(|p| p.split_once('='));
    pairs.into_iter().find(|(n, _)| *n == name).map(|(_, v)| v)
}

/// Serves `POST /promote` on a free port. The order is answered when `promote` returns.
pub fn listen_for_promotions(group: Group, record: Record, promote: Promote) -> std::io::Result<SocketAddr> {
    serve(move |req| {
        let header = |name: &str| {
            let found = req.headers.iter().find(|(n, _)| n == name);
            found.map_or("", |(_, v)| v.as_str()).to_owned()
        };
        let id = json::string(&req.body, "id").unwrap_or_default();
        let (holder, fence) = (header("x-duty-holder"), header("x-fencing-token"));
        record.note(&format!(
            "platform: order to promote {id}, holder {holder}, fence {fence}"
        ));
        let status = promote(&group, id, fence.parse().unwrap_or(0));
        record.note(&format!(
            "platform: order to promote {id}, fence {fence}, answered {status}"
        ));
        (status, "{}".to_owned())
    })
}

fn serve<F>(handle: F) -> std::io::Result<SocketAddr>
where
    F: Fn(&HttpRequest) -> (u16, String) + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || serve_connection(stream, &*handle));
        }
    });
    Ok(address)
}

/// Answers requests until the client closes the connection, which is no error.
fn serve_connection<F>(stream: TcpStream, handle: &F) -> Option<()>
where
    F: Fn(&HttpRequest) -> (u16, String),
{
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let req = read_request(&mut reader)?;
        let (status, body) = handle(&req);
        let text = format!(
            "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        writer.write_all(text.as_bytes()).ok()?;
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<HttpRequest> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let method = words.next()?.to_owned();
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let (path, query) = (path.to_owned(), query.to_owned());
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let length = headers.iter().find(|(n, _)| n == "content-length");
    let length = length.and_then(|(_, v)| v.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(HttpRequest {
        method,
        path,
        query,
        headers,
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}
