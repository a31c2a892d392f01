//! Passes one request to the home and its answer to the caller, with flow control in both directions.

use super::exchange::Exchange;
use super::frontend;
use super::outcome::{Completed, Failure, Sent};
use super::request::Request;
use super::session::{End, Event, Session, Wait, protocol_error};
use super::variables::{Classified, classify};
use crate::clock;
use crate::counters::{self, Counter};
use pgwire::messages::response::TransactionStatus;
use std::time::Duration;
use wasabiyard_model::{OutcomeUnknown, Time};
use wasabiyard_wire::{StreamMessage, StreamOutcome};

/// Time after the deadline in which the home may still report what happened; it knows more than the entry.
const HOME_GRACE: Duration = Duration::from_millis(500);
/// Time after which it is looked whether a caller that waits is still there.
const LOOK_AFTER: Duration = Duration::from_millis(50);
/// Input that is read ahead while a request runs. Reading on is needed to see that a caller is gone.
const MAX_READ_AHEAD_BYTES: usize = 32 * 1024;

/// `CopyFail` with a text for the slot.
const COPY_FAIL: &[u8] = b"f\x00\x00\x00\x12not supported\x00";
const SYNC: &[u8] = b"S\x00\x00\x00\x04";

/// How a request in a stream went.
pub(super) enum Relayed {
    /// The stream is complete.
    Completed(Completed),
    /// The request is answered and the transaction block is open.
    Open(TransactionStatus),
    /// The stream is over without the whole answer.
    Failed(Failure),
}

impl Session {
    /// Whether more input may be read while a request runs.
    pub(super) fn may_read_ahead(&self) -> bool {
        self.io.input.len() < MAX_READ_AHEAD_BYTES
    }

    /// Sends a request and passes its answer on.
    pub(super) async fn relay(
        &mut self,
        exchange: &mut Exchange,
        request: &Request,
        deadline: Time,
        sent: Sent,
    ) -> Result<Relayed, End> {
        exchange.start(request.synced, request.extended);
        exchange
            .queue(&request.frames, &mut self.statements)
            .map_err(protocol_error)?;
        let timeout = deadline.saturating_since(clock::now()) + HOME_GRACE;
        let mut deadline = deadline + HOME_GRACE;
        loop {
            if !exchange.synced && self.queue_more(exchange)? {
                deadline = clock::now() + self.entry.settings.traffic.idle_in_transaction;
            }
            exchange.pump();
            match self.next_event(exchange, deadline).await? {
                Event::Home(message) => {
                    // An answer that makes progress may take longer than the timeout as a whole.
                    deadline = deadline.max(clock::now() + timeout);
                    if let Some(ending) = self.take_message(exchange, message)? {
                        exchange.set_ended();
                        return Ok(match sent.ended(ending) {
                            Ok(completed) => Relayed::Completed(completed),
                            Err(failure) => Relayed::Failed(failure),
                        });
                    }
                    match exchange.ready {
                        Some(b'T') => return Ok(Relayed::Open(TransactionStatus::Transaction)),
                        Some(b'E') => return Ok(Relayed::Open(TransactionStatus::Error)),
                        _ => {}
                    }
                }
                Event::HomeGone => {
                    return Ok(Relayed::Failed(sent.unknown(OutcomeUnknown::HomeStopped)));
                }
                Event::Deadline => {
                    return Ok(Relayed::Failed(sent.unknown(OutcomeUnknown::Deadline)));
                }
                Event::Input | Event::Changed => {}
            }
        }
    }

    async fn next_event(&mut self, exchange: &mut Exchange, deadline: Time) -> Result<Event, End> {
        if self.io.has_room()
            && let Some(event) = exchange.try_event()
        {
            return Ok(event);
        }
        // The end of the stream follows at once, and then the whole answer leaves in one write.
        let hold_output = exchange.ready == Some(b'I');
        // Most answers come soon. Only while a caller waits for long it is looked whether it is still there, which
        // saves a system call for each statement.
        let look_at = exchange.started + LOOK_AFTER;
        let looks = !exchange.synced || clock::now() >= look_at;
        let wait = Wait {
            home: Some(exchange),
            read: looks && self.may_read_ahead(),
            hold_output,
            deadline: Some(if looks { deadline } else { deadline.min(look_at) }),
        };
        match self.wait(wait).await? {
            Event::Deadline if clock::now() < deadline => Ok(Event::Input),
            event => Ok(event),
        }
    }

    /// Queues further messages of a batch whose end is not sent yet. Returns whether there were any.
    fn queue_more(&mut self, exchange: &mut Exchange) -> Result<bool, End> {
        let mut any = false;
        while exchange.has_room() && !exchange.synced {
            let Some(frame) = self.take_frame()? else { break };
            let tag = frame.tag();
            match tag {
                frontend::TERMINATE => return Err(End::Closed),
                frontend::PASSWORD => {
                    return Err(protocol_error(super::FrameError::UnknownTag(tag)));
                }
                frontend::COPY_DATA | frontend::COPY_DONE | frontend::COPY_FAIL => continue,
                frontend::PARSE => check_text(frame.parse().map_err(protocol_error)?.1)?,
                frontend::QUERY => check_text(frame.query().map_err(protocol_error)?)?,
                _ => {}
            }
            exchange.synced = matches!(tag, frontend::SYNC | frontend::QUERY);
            exchange
                .queue(std::slice::from_ref(&frame), &mut self.statements)
                .map_err(protocol_error)?;
            any = true;
        }
        Ok(any)
    }

    /// Takes a message of the home. Returns how the stream ended when it did.
    pub(super) fn take_message(
        &mut self,
        exchange: &mut Exchange,
        message: StreamMessage,
    ) -> Result<Option<StreamOutcome>, End> {
        if message.id() != exchange.id {
            counters::add(Counter::LateMessages, 1);
            return Ok(None);
        }
        match message {
            StreamMessage::Data(_, data) => self.take_data(exchange, &data)?,
            StreamMessage::Credit(_, bytes) => exchange.add_credit(bytes),
            StreamMessage::End(_, ending) => return Ok(Some(ending)),
            StreamMessage::Open(..) | StreamMessage::Cancel(_) | StreamMessage::Abandon(_) => {
                counters::add(Counter::LateMessages, 1);
            }
        }
        Ok(None)
    }

    fn take_data(&mut self, exchange: &mut Exchange, data: &[u8]) -> Result<(), End> {
        let seen = exchange
            .answer
            .feed(data, &mut exchange.expectations, &mut self.io.output);
        exchange.consume(data.len());
        self.statements
            .keep_completed(&mut exchange.expectations)
            .map_err(|e| End::Fatal("53400", e.to_string()))?;
        if seen.copy_in {
            exchange.queue_raw(COPY_FAIL);
            if exchange.extended {
                // A slot ignores the `Sync` that came before while it waits for data.
                exchange.queue_raw(SYNC);
            }
        }
        exchange.ready = seen.ready.or(exchange.ready);
        Ok(())
    }
}

/// Later messages of a long batch go straight to the database, so nothing else may be among them.
fn check_text(text: &str) -> Result<(), End> {
    match classify(text) {
        Classified::Remote => Ok(()),
        Classified::Local(_) | Classified::Forbidden => Err(End::Fatal(
            "42501",
            "a statement about session variables of wasabiyard must not stand in a batch with others"
                .to_owned(),
        )),
    }
}
