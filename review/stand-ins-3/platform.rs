//! Stand-in of the platform's service for singleton duties. It does not check fences, but notes each order.

use crate::database::Service;
use crate::http::{self, Call, Reply};
use crate::json::Json;
use crate::record::Record;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const USUAL_BACKLOG: i32 = 128;
const ACCEPT_PERIOD: Duration = Duration::from_millis(2);

unsafe extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
}

/// An order to promote a server, in the order of arrival.
#[derive(Debug, Clone)]
pub struct Order {
    pub at: Instant,
    pub holder: String,
    pub fence: u64,
    pub server: String,
}

#[derive(Debug, Clone)]
pub struct Platform {
    pub address: SocketAddr,
    services: Vec<Service>,
    orders: Arc<Mutex<Vec<Order>>>,
    listener: Arc<TcpListener>,
    /// Whether connections are not accepted.
    closed: Arc<AtomicBool>,
    fillers: Arc<Mutex<Vec<TcpStream>>>,
    record: Record,
}

impl Platform {
    pub fn open(services: Vec<Service>, record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let platform = Self {
            address: listener.local_addr()?,
            services,
            orders: Arc::default(),
            listener: Arc::new(listener),
            closed: Arc::default(),
            fillers: Arc::default(),
            record: record.clone(),
        };
        let acceptor = platform.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(ACCEPT_PERIOD);
                if acceptor.closed.load(Ordering::SeqCst) {
                    continue;
                }
                if let Ok((stream, _)) = acceptor.listener.accept() {
                    let platform = acceptor.clone();
                    thread::spawn(move || {
                        let handle = |call: &Call| platform.handle(call);
                        let blocking = stream.set_nonblocking(false);
                        blocking
                            .and_then(|()| http::serve_connection(stream, &handle))
                            .is_ok()
                    });
                }
            }
        });
        Ok(platform)
    }

    pub fn orders(&self) -> Vec<Order> {
        self.orders.lock().expect("no panic under this lock").clone()
    }

    /// Takes no new connections: the queue of the port is full, so the system drops the first packet of each, and its sender
    /// sends it again after 1 s, 3 s and so on.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        thread::sleep(2 * ACCEPT_PERIOD);
        self.set_backlog(0);
        let mut fillers = self.fillers.lock().expect("no panic under this lock");
        while let Ok(stream) = TcpStream::connect_timeout(&self.address, Duration::from_millis(100)) {
            fillers.push(stream);
        }
        self.record.line("platform: takes no new connections");
    }

    pub fn reopen(&self) {
        self.fillers.lock().expect("no panic under this lock").clear();
        self.set_backlog(USUAL_BACKLOG);
        self.closed.store(false, Ordering::SeqCst);
        self.record.line("platform: takes connections again");
    }

    fn set_backlog(&self, backlog: i32) {
        // SAFETY: the descriptor is that of an open listener, which this only gives another backlog.
        let result = unsafe { listen(self.listener.as_raw_fd(), backlog) };
        assert_eq!(result, 0, "the backlog of an open listener can be changed");
    }

    fn handle(&self, call: &Call) -> Reply {
        if call.path != "/promote" {
            return Reply::new(404, Json::Null);
        }
        let header = |name: &str| call.headers.get(name).cloned().unwrap_or_default();
        let order = Order {
            at: Instant::now(),
            holder: header("x-duty-holder"),
            fence: header("x-fencing-token").parse().unwrap_or(0),
            server: call.body.get("id").as_text().to_owned(),
        };
        let service = self
            .services
            .iter()
            .find(|s| s.name == call.body.get("service").as_text());
        let accepted = service.is_some_and(|s| s.promote(&order.server));
        self.record.line(&format!(
            "platform: promote {} by {} with fence {}, answered {}",
            order.server,
            order.holder,
            order.fence,
            if accepted { 200 } else { 409 }
        ));
        self.orders.lock().expect("no panic under this lock").push(order);
        Reply::new(if accepted { 200 } else { 409 }, Json::Null)
    }
}
