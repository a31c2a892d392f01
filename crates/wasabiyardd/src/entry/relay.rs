//! Relays one request to the home and its response to the caller, with flow control in both directions.

use super::frontend;
use super::home_stream::HomeStream;
use super::outcome::{Completed, Failure, SentRequest};
use super::request::Request;
use super::session::{Session, SessionEnd, WaitConditions, WakeEvent, protocol_error};
use super::variables::{StatementKind, classify};
use crate::clock;
use crate::counters::{self, Counter};
use pgwire::messages::response::TransactionStatus;
use std::time::Duration;
use wasabiyard_model::{OutcomeUnknown, Time};
use wasabiyard_wire::{StreamMessage, StreamOutcome};

/// Time after the deadline in which the home may still report an outcome. The home knows whether the request ran, which
/// the entry does not.
const HOME_REPORT_GRACE: Duration = Duration::from_millis(500);
/// How long a request runs before the entry starts to watch for a disconnect of the caller.
const DISCONNECT_CHECK_DELAY: Duration = Duration::from_millis(50);
/// Most input that is read ahead while a request runs. Only reading shows that a caller is gone.
const MAX_READ_AHEAD_BYTES: usize = 32 * 1024;

/// `CopyFail` message that refuses to send `COPY` data to the slot.
const COPY_FAIL: &[u8] = b"f\x00\x00\x00\x12not supported\x00";
/// `Sync` message.
const SYNC: &[u8] = b"S\x00\x00\x00\x04";

/// How the relay of a request ended.
pub(super) enum RelayOutcome {
    /// The transaction and its stream are complete.
    Completed(Completed),
    /// The request is answered and its transaction block is still open, with this status.
    Open(TransactionStatus),
    /// The stream ended before the response was complete.
    Failed(Failure),
}

impl Session {
    /// Whether more input may be read while a request runs.
    pub(super) fn may_read_ahead(&self) -> bool {
        self.io.input.len() < MAX_READ_AHEAD_BYTES
    }

    /// Sends a request and forwards its response. The error ends the session.
    pub(super) async fn relay(
        &mut self,
        home_stream: &mut HomeStream,
        request: &Request,
        deadline: Time,
        sent: SentRequest,
    ) -> Result<RelayOutcome, SessionEnd> {
        home_stream.start(request.synced, request.extended);
        home_stream
            .queue(&request.frames, &mut self.prepared_statements)
            .map_err(protocol_error)?;
        let timeout = deadline.saturating_since(clock::now()) + HOME_REPORT_GRACE;
        let mut deadline = deadline + HOME_REPORT_GRACE;
        loop {
            if !home_stream.synced && self.queue_rest_of_batch(home_stream)? {
                deadline = clock::now() + self.entry.settings.traffic.idle_in_transaction;
            }
            home_stream.send_queued();
            match self.next_event(home_stream, deadline).await? {
                WakeEvent::Home(message) => {
                    // The timeout limits the time without progress: a response that keeps flowing may take longer as
                    // a whole.
                    deadline = deadline.max(clock::now() + timeout);
                    if let Some(outcome) = self.handle_home_message(home_stream, message)? {
                        home_stream.mark_ended();
                        return Ok(match sent.into_result(outcome) {
                            Ok(completed) => RelayOutcome::Completed(completed),
                            Err(failure) => RelayOutcome::Failed(failure),
                        });
                    }
                    match home_stream.ready_status {
                        Some(b'T') => return Ok(RelayOutcome::Open(TransactionStatus::Transaction)),
                        Some(b'E') => return Ok(RelayOutcome::Open(TransactionStatus::Error)),
                        _ => {}
                    }
                }
                WakeEvent::HomeGone => {
                    return Ok(RelayOutcome::Failed(
                        sent.outcome_unknown(OutcomeUnknown::HomeStopped),
                    ));
                }
                WakeEvent::Deadline => {
                    return Ok(RelayOutcome::Failed(
                        sent.outcome_unknown(OutcomeUnknown::Deadline),
                    ));
                }
                WakeEvent::Input | WakeEvent::SnapshotChanged => {}
            }
        }
    }

    async fn next_event(
        &mut self,
        home_stream: &mut HomeStream,
        deadline: Time,
    ) -> Result<WakeEvent, SessionEnd> {
        if self.io.has_output_room()
            && let Some(event) = home_stream.try_event()
        {
            return Ok(event);
        }
        // The end of the stream follows at once. Holding the output until then sends the whole response in one write.
        let hold_output = home_stream.ready_status == Some(b'I');
        // Most responses arrive before the check for a disconnect begins, which saves a system call for each statement.
        let check_at = home_stream.request_started + DISCONNECT_CHECK_DELAY;
        let reads_input = !home_stream.synced || clock::now() >= check_at;
        let wait = WaitConditions {
            home: Some(home_stream),
            read: reads_input && self.may_read_ahead(),
            hold_output,
            deadline: Some(if reads_input {
                deadline
            } else {
                deadline.min(check_at)
            }),
        };
        match self.wait(wait).await? {
            WakeEvent::Deadline if clock::now() < deadline => Ok(WakeEvent::Input),
            event => Ok(event),
        }
    }

    /// Queues further messages of a batch that was sent without its end. Returns whether there were any.
    fn queue_rest_of_batch(&mut self, home_stream: &mut HomeStream) -> Result<bool, SessionEnd> {
        let mut queued_any = false;
        while home_stream.can_queue() && !home_stream.synced {
            let Some(frame) = self.take_frame()? else { break };
            let tag = frame.tag();
            match tag {
                frontend::TERMINATE => return Err(SessionEnd::Closed),
                frontend::PASSWORD => {
                    return Err(protocol_error(super::FrameError::UnknownTag(tag)));
                }
                frontend::COPY_DATA | frontend::COPY_DONE | frontend::COPY_FAIL => continue,
                frontend::PARSE => reject_local_statement(frame.parse().map_err(protocol_error)?.1)?,
                frontend::QUERY => reject_local_statement(frame.query().map_err(protocol_error)?)?,
                _ => {}
            }
            home_stream.synced = matches!(tag, frontend::SYNC | frontend::QUERY);
            home_stream
                .queue(std::slice::from_ref(&frame), &mut self.prepared_statements)
                .map_err(protocol_error)?;
            queued_any = true;
        }
        Ok(queued_any)
    }

    /// Handles a message of the home. Returns the outcome when the message ends the stream.
    pub(super) fn handle_home_message(
        &mut self,
        home_stream: &mut HomeStream,
        message: StreamMessage,
    ) -> Result<Option<StreamOutcome>, SessionEnd> {
        if message.id() != home_stream.id {
            counters::add(Counter::LateMessages, 1);
            return Ok(None);
        }
        match message {
            StreamMessage::Data(_, data) => self.forward_response(home_stream, &data)?,
            StreamMessage::Credit(_, bytes) => home_stream.add_credit(bytes),
            StreamMessage::End(_, outcome) => return Ok(Some(outcome)),
            StreamMessage::Open(..) | StreamMessage::Cancel(_) | StreamMessage::Abandon(_) => {
                counters::add(Counter::LateMessages, 1);
            }
        }
        Ok(None)
    }

    fn forward_response(&mut self, home_stream: &mut HomeStream, data: &[u8]) -> Result<(), SessionEnd> {
        let summary =
            home_stream
                .response
                .feed(data, &mut home_stream.pending_completions, &mut self.io.output);
        home_stream.record_consumed(data.len());
        self.prepared_statements
            .store_parsed(&mut home_stream.pending_completions)
            .map_err(|e| SessionEnd::Fatal("53400", e.to_string()))?;
        if summary.copy_in {
            home_stream.queue_raw(COPY_FAIL);
            if home_stream.extended {
                // A slot that waits for `COPY` data ignores `Sync`, so the one sent before has no effect.
                home_stream.queue_raw(SYNC);
            }
        }
        home_stream.ready_status = summary.ready.or(home_stream.ready_status);
        Ok(())
    }
}

/// Refuses statements that are not for the database. The later messages of a long batch are sent without being
/// collected, so the entry cannot answer a local statement among them.
fn reject_local_statement(text: &str) -> Result<(), SessionEnd> {
    match classify(text) {
        StatementKind::Remote => Ok(()),
        StatementKind::Local(_) | StatementKind::Forbidden => Err(SessionEnd::Fatal(
            "42501",
            "a statement about session variables of wasabiyard must not stand in a batch with others"
                .to_owned(),
        )),
    }
}
