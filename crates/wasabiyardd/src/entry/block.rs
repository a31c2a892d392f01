//! Serves the requests of a transaction block after the one that opened it.

use super::backend;
use super::frontend;
use super::home_stream::HomeStream;
use super::outcome::{Failure, UnsentRequest};
use super::relay::RelayOutcome;
use super::request::{Request, RequestKind};
use super::session::{LostBlock, Session, SessionEnd, WaitConditions, WakeEvent, protocol_error};
use super::transaction::count_failure;
use crate::clock;
use pgwire::messages::response::TransactionStatus;
use std::time::Duration;
use wasabiyard_model::OutcomeUnknown;

/// What happens next in an open block.
enum BlockInput {
    Request(Request),
    /// The home ended the stream while the caller was idle; the transaction is lost.
    Lost(Failure),
}

impl Session {
    /// Serves the requests of an open block until it ends.
    pub(super) async fn continue_block(
        &mut self,
        mut home_stream: HomeStream,
        timeout: Duration,
        mut status: TransactionStatus,
    ) -> Result<(), SessionEnd> {
        loop {
            let request = match self.next_block_input(&mut home_stream).await? {
                BlockInput::Request(request) => request,
                BlockInput::Lost(failure) => {
                    self.mark_block_lost(Some(failure));
                    return Ok(());
                }
            };
            match request.kind {
                RequestKind::Local => {
                    self.answer_locally(&request, status);
                    continue;
                }
                RequestKind::Forbidden => {
                    self.mark_block_lost(None);
                    self.refuse_forbidden(&request);
                    return Ok(());
                }
                RequestKind::Remote => {}
            }
            let unsent = UnsentRequest::new();
            // COMMIT and ROLLBACK are exempt from the rate limit, so that an open block can always end.
            if request.block_end.is_none()
                && let Err(reason) = self.acquire_rate_tokens(&request).await
            {
                self.fail_in_block(&home_stream, &request, unsent.refuse(reason))?;
                return Ok(());
            }
            let deadline = clock::now() + timeout;
            match self
                .relay(&mut home_stream, &request, deadline, unsent.send())
                .await?
            {
                RelayOutcome::Completed(completed) => {
                    self.complete(&home_stream, completed);
                    return Ok(());
                }
                RelayOutcome::Open(next) => {
                    status = next;
                    backend::ready_for_query(&mut self.io.output, status);
                }
                RelayOutcome::Failed(failure) => return self.fail_in_block(&home_stream, &request, failure),
            }
        }
    }

    /// Reports a failed request of a block to the caller. The transaction is lost with it.
    fn fail_in_block(
        &mut self,
        home_stream: &HomeStream,
        request: &Request,
        failure: Failure,
    ) -> Result<(), SessionEnd> {
        count_failure(failure);
        if !home_stream.response.is_between_messages() {
            return Err(SessionEnd::Closed);
        }
        self.cancel.target().set(None);
        // After a failed COMMIT or ROLLBACK the caller has no block to end, so none is marked as lost.
        if request.block_end.is_none() {
            self.mark_block_lost(None);
        }
        self.finish_with_error(request, failure.sqlstate(), &failure.message());
        Ok(())
    }

    fn mark_block_lost(&mut self, unreported: Option<Failure>) {
        self.cancel.target().set(None);
        self.lost_block = Some(LostBlock { unreported });
    }

    async fn next_block_input(&mut self, home_stream: &mut HomeStream) -> Result<BlockInput, SessionEnd> {
        let deadline = clock::now() + self.entry.settings.traffic.idle_in_transaction;
        let mut batch = Request::batch();
        loop {
            while let Some(frame) = self.take_frame()? {
                match frame.tag() {
                    frontend::TERMINATE => return Err(SessionEnd::Closed),
                    frontend::QUERY if batch.frames.is_empty() => {
                        let request = Request::simple(frame).map_err(protocol_error)?;
                        return Ok(BlockInput::Request(request));
                    }
                    frontend::COPY_DATA | frontend::COPY_DONE | frontend::COPY_FAIL => {}
                    _ => {
                        if batch
                            .push(frame, &self.prepared_statements)
                            .map_err(protocol_error)?
                        {
                            return Ok(BlockInput::Request(batch));
                        }
                    }
                }
            }
            let wait = WaitConditions {
                home: Some(&mut *home_stream),
                read: true,
                deadline: Some(deadline),
                ..WaitConditions::default()
            };
            match self.wait(wait).await? {
                WakeEvent::Home(message) => {
                    if let Some(outcome) = self.handle_home_message(home_stream, message)? {
                        home_stream.mark_ended();
                        let lost = |_completed| {
                            UnsentRequest::new()
                                .send()
                                .outcome_unknown(OutcomeUnknown::ConnectionLost)
                        };
                        let failure = UnsentRequest::new()
                            .send()
                            .into_result(outcome)
                            .map_or_else(|f| f, lost);
                        return Ok(BlockInput::Lost(failure));
                    }
                }
                WakeEvent::HomeGone => {
                    let failure = UnsentRequest::new()
                        .send()
                        .outcome_unknown(OutcomeUnknown::HomeStopped);
                    return Ok(BlockInput::Lost(failure));
                }
                WakeEvent::Deadline => {
                    let message = "the transaction was idle for too long and is rolled back";
                    return Err(SessionEnd::Fatal("25P03", message.to_owned()));
                }
                WakeEvent::Input | WakeEvent::SnapshotChanged => {}
            }
        }
    }
}
