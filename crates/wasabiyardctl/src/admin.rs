//! Fetches pages from the admin addresses of daemons over HTTP.

use crate::CtlError;
use async_io::{Async, Timer};
use futures_lite::{FutureExt as _, future};
use http_body_util::{BodyExt as _, Empty};
use hyper::Request;
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::header::HOST;
use smol_hyper::rt::FuturesIo;
use std::error::Error;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Fetches one page; fails when it takes longer than `timeout`.
pub async fn fetch_page(address: SocketAddr, path: &str, timeout: Duration) -> Result<String, CtlError> {
    let request_error = |reason: String| CtlError::AdminRequest { address, reason };
    let deadline = async {
        Timer::after(timeout).await;
        Err(format!("no response within {} ms", timeout.as_millis()))
    };
    let page = async { request_page(address, path).await.map_err(|e| e.to_string()) };
    page.or(deadline).await.map_err(request_error)
}

/// Fetches the same page from many addresses concurrently. The pages are in the order of the addresses.
pub async fn fetch_all_pages(
    addresses: &[SocketAddr],
    path: &str,
    timeout: Duration,
) -> Vec<(SocketAddr, Result<String, CtlError>)> {
    let executor = async_executor::LocalExecutor::new();
    let tasks: Vec<_> = addresses
        .iter()
        .map(|a| (*a, executor.spawn(fetch_page(*a, path, timeout))))
        .collect();
    executor
        .run(async {
            let mut pages = Vec::with_capacity(tasks.len());
            for (address, task) in tasks {
                pages.push((address, task.await));
            }
            pages
        })
        .await
}

async fn request_page(address: SocketAddr, path: &str) -> Result<String, Box<dyn Error>> {
    let stream = Async::<TcpStream>::connect(address).await?;
    let (mut sender, connection) = http1::handshake(FuturesIo::new(stream)).await?;
    let req = Request::get(path)
        .header(HOST, address.to_string())
        .body(Empty::<Bytes>::new())?;
    let page = async {
        let response = sender.send_request(req).await?;
        let status = response.status();
        let body = response.into_body().collect().await?.to_bytes();
        if !status.is_success() {
            return Err(format!("{path}: {status}").into());
        }
        Ok(String::from_utf8(body.into())?)
    };
    let drive_connection = async {
        // A connection error also fails the pending request, which returns it.
        drop(connection.await);
        future::pending().await
    };
    page.or(drive_connection).await
}
