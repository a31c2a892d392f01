//! The platform over HTTP/1.
//!
//! The form of the documents and paths that the stand-in of this repository serves.

use crate::http_client::{HttpClient, HttpRequest};
use crate::http_connection::{HttpError, HttpResponse};
use crate::{Changes, ListedInstance, Object, Platform, PlatformError, Precondition};
use hyper::{Method, StatusCode};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;
use wasabiyard_model::Version;

/// Client of the platform's HTTP interface.
#[derive(Debug)]
pub struct HttpPlatform {
    client: HttpClient,
    timeout: Duration,
}

#[derive(Deserialize)]
struct VersionBody {
    version: Version,
}

#[derive(Deserialize)]
struct ObjectBody {
    version: Version,
    value: Value,
}

#[derive(Deserialize)]
struct InstancesBody {
    instances: Vec<ListedInstance>,
}

impl HttpPlatform {
    /// A client that connects to `address` at the first call. `timeout` bounds each call; a watch may take this much
    /// longer than its own time.
    pub const fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            client: HttpClient::new(address),
            timeout,
        }
    }

    /// Sends a read. A read changes nothing, so a lost answer is the same as an unavailable platform.
    async fn read(&self, path: &str, timeout: Duration) -> Result<HttpResponse, PlatformError> {
        let answer = self
            .client
            .execute(&HttpRequest::new(Method::GET, path), timeout)
            .await;
        match answer {
            Ok(answer) => refuse(answer, path),
            Err(HttpError::NotSent(reason) | HttpError::ResponseLost(reason)) => {
                Err(PlatformError::Unavailable { reason })
            }
        }
    }

    /// Sends an update. `expected` is the version named in its condition.
    async fn update(
        &self,
        method: Method,
        key: &str,
        expected: Version,
        value: Option<&Value>,
    ) -> Result<HttpResponse, PlatformError> {
        let path = format!("/objects/{}?if_version={expected}", escape(key));
        let call = HttpRequest {
            value,
            ..HttpRequest::new(method, &path)
        };
        match self.client.execute(&call, self.timeout).await {
            Err(HttpError::NotSent(reason)) => Err(PlatformError::Unavailable { reason }),
            Err(HttpError::ResponseLost(reason)) => {
                log::warn!("the answer to an update of {key} was lost: {reason}");
                Err(PlatformError::Unknown)
            }
            Ok(answer) if answer.status == StatusCode::CONFLICT => Err(PlatformError::Conflict {
                key: key.to_owned(),
                expected,
                found: parse::<VersionBody>(&answer, key)?.version,
            }),
            // The platform failed while it handled the update, which may have taken effect before.
            Ok(answer) if answer.status == StatusCode::INTERNAL_SERVER_ERROR => Err(PlatformError::Unknown),
            Ok(answer) => refuse(answer, key),
        }
    }
}

impl Platform for HttpPlatform {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        let path = format!("/objects/{}", escape(key));
        let answer = self.read(&path, self.timeout).await?;
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let ObjectBody { version, value } = parse(&answer, key)?;
        Ok(Some(Object {
            key: key.to_owned(),
            version,
            value,
        }))
    }

    async fn put(&self, key: &str, expect: Precondition, value: &Value) -> Result<Version, PlatformError> {
        let expected = match expect {
            Precondition::Absent => Version(0),
            Precondition::Version(version) => version,
        };
        let answer = self.update(Method::PUT, key, expected, Some(value)).await?;
        Ok(parse::<VersionBody>(&answer, key)?.version)
    }

    async fn delete(&self, key: &str, version: Version) -> Result<(), PlatformError> {
        self.update(Method::DELETE, key, version, None).await?;
        Ok(())
    }

    async fn list(&self, prefix: &str) -> Result<Changes, PlatformError> {
        let path = format!("/objects?prefix={}", escape(prefix));
        parse(&self.read(&path, self.timeout).await?, prefix)
    }

    async fn watch(&self, prefix: &str, since: u64, timeout: Duration) -> Result<Changes, PlatformError> {
        let path = format!(
            "/watch?prefix={}&since={since}&timeout_ms={}",
            escape(prefix),
            timeout.as_millis()
        );
        parse(&self.read(&path, timeout + self.timeout).await?, prefix)
    }

    async fn instances(&self) -> Result<Vec<ListedInstance>, PlatformError> {
        let answer = self.read("/instances", self.timeout).await?;
        Ok(parse::<InstancesBody>(&answer, "/instances")?.instances)
    }
}

/// Passes an answer on that is a success or a missing object.
fn refuse(answer: HttpResponse, what: &str) -> Result<HttpResponse, PlatformError> {
    if answer.status.is_success() || answer.status == StatusCode::NOT_FOUND {
        return Ok(answer);
    }
    Err(PlatformError::Unavailable {
        reason: format!("{} for {what}", answer.status),
    })
}

fn parse<T>(answer: &HttpResponse, key: &str) -> Result<T, PlatformError>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(&answer.body).map_err(|source| PlatformError::Malformed {
        key: key.to_owned(),
        source,
    })
}

/// Percent-encodes everything but unreserved characters and the slash.
fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte) {
            escaped.push(char::from(byte));
        } else {
            write!(escaped, "%{byte:02X}").expect("writing to a string never fails");
        }
    }
    escaped
}
