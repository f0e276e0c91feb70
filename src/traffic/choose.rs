//! Waits for the router to choose a target or to refuse a call.

use std::pin::Pin;
use std::task::Poll;
use std::time::Instant;

use futures::FutureExt;
use futures::future::Either;
use futures::future::select;

use crate::route::Attempt;
use crate::route::Call;
use crate::route::Refusal;
use crate::route::Step;
use crate::traffic::caller;
use crate::traffic::caller::Caller;
use crate::traffic::worker::Worker;

/// Waits until the call may be sent or is refused; `None` if the caller disconnected first.
pub async fn next_step(
    worker: &Worker,
    caller: &mut Caller,
    call: &mut Call,
) -> Option<Result<Attempt, Refusal>> {
    let router = &worker.shared.router;
    let mut sleep = None;
    let step = std::future::poll_fn(|cx| {
        match call.step(router, Instant::now(), cx.waker()) {
            Step::Send(attempt) => return Poll::Ready(Ok(attempt)),
            Step::Refuse(refusal) => return Poll::Ready(Err(refusal)),
            Step::Wait(until) => sleep = Some(worker.timers.sleep_until(until)),
        }
        let elapsed = sleep
            .as_mut()
            .is_some_and(|sleep| Pin::new(sleep).poll_unpin(cx).is_ready());
        if elapsed {
            cx.waker().wake_by_ref();
        }
        Poll::Pending
    });
    let Caller { reader, stream } = caller;
    let disconnect = caller::wait_for_disconnect(reader, stream, &worker.timers, || true);
    match select(step, std::pin::pin!(disconnect)).await {
        Either::Left((step, _)) => Some(step),
        Either::Right(_) => None,
    }
}
