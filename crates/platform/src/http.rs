//! HTTP/1 client of the platform.
//!
//! Paths and documents are those that this repository's simulated platform (`wasabiyard-standin`) serves.

use crate::http_client::{HttpClient, HttpRequest};
use crate::http_connection::{HttpError, HttpResponse};
use crate::percent_encoding::encode_path;
use crate::{Changes, ListedInstance, Object, Platform, PlatformError, Precondition};
use hyper::{Method, StatusCode};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use wasabiyard_model::Version;

/// [`Platform`] over its HTTP interface.
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
    /// Creates a client that connects to `address` on the first request. `timeout` limits each request; a watch may
    /// take that much longer than its own timeout.
    pub const fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            client: HttpClient::new(address),
            timeout,
        }
    }

    async fn read(&self, path: &str) -> Result<HttpResponse, PlatformError> {
        self.send_get(&HttpRequest::new(Method::GET, path), self.timeout)
            .await
    }

    async fn send_get(
        &self,
        req: &HttpRequest<'_>,
        timeout: Duration,
    ) -> Result<HttpResponse, PlatformError> {
        check_status(self.client.read(req, timeout).await?, req.path)
    }

    /// Sends a conditional update. `expected` is the version that the object must have, 0 if it must not exist.
    async fn update(
        &self,
        method: Method,
        key: &str,
        expected: Version,
        value: Option<&Value>,
    ) -> Result<HttpResponse, PlatformError> {
        let path = format!("/objects/{}?if_version={expected}", encode_path(key));
        let req = HttpRequest {
            value,
            ..HttpRequest::new(method, &path)
        };
        match self.client.execute(&req, self.timeout).await {
            Err(HttpError::NotSent(reason)) => Err(PlatformError::Unavailable { reason }),
            Err(HttpError::ResponseLost(reason)) => {
                log::warn!("lost the response to an update of {key}, which may have taken effect: {reason}");
                Err(PlatformError::Unknown)
            }
            Ok(resp) if resp.status == StatusCode::CONFLICT => Err(PlatformError::Conflict {
                key: key.to_owned(),
                expected,
                found: parse_body::<VersionBody>(&resp, key)?.version,
            }),
            // The platform failed while handling the update, which may already have taken effect.
            Ok(resp) if resp.status == StatusCode::INTERNAL_SERVER_ERROR => Err(PlatformError::Unknown),
            Ok(resp) => check_status(resp, key),
        }
    }
}

impl Platform for HttpPlatform {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        let path = format!("/objects/{}", encode_path(key));
        let resp = self.read(&path).await?;
        if resp.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let ObjectBody { version, value } = parse_body(&resp, key)?;
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
        let response = self.update(Method::PUT, key, expected, Some(value)).await?;
        Ok(parse_body::<VersionBody>(&response, key)?.version)
    }

    async fn delete(&self, key: &str, version: Version) -> Result<(), PlatformError> {
        self.update(Method::DELETE, key, version, None).await?;
        Ok(())
    }

    async fn list(&self, prefix: &str) -> Result<Changes, PlatformError> {
        let path = format!("/objects?prefix={}", encode_path(prefix));
        parse_body(&self.read(&path).await?, prefix)
    }

    async fn watch(&self, prefix: &str, since: u64, timeout: Duration) -> Result<Changes, PlatformError> {
        let path = format!(
            "/watch?prefix={}&since={since}&timeout_ms={}",
            encode_path(prefix),
            timeout.as_millis()
        );
        let req = HttpRequest {
            may_wait: true,
            ..HttpRequest::new(Method::GET, &path)
        };
        parse_body(&self.send_get(&req, timeout + self.timeout).await?, prefix)
    }

    async fn instances(&self) -> Result<Vec<ListedInstance>, PlatformError> {
        let response = self.read("/instances").await?;
        Ok(parse_body::<InstancesBody>(&response, "/instances")?.instances)
    }
}

/// Returns a successful or *not found* response, and maps every other status to an error.
fn check_status(response: HttpResponse, target: &str) -> Result<HttpResponse, PlatformError> {
    if response.status.is_success() || response.status == StatusCode::NOT_FOUND {
        return Ok(response);
    }
    Err(PlatformError::Unavailable {
        reason: format!("{} for {target}", response.status),
    })
}

fn parse_body<T>(response: &HttpResponse, key: &str) -> Result<T, PlatformError>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(&response.body).map_err(|source| PlatformError::Malformed {
        key: key.to_owned(),
        source,
    })
}
