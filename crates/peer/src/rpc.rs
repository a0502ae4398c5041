//! Calls and handlers of the generated RPC interface, in terms of the types in `messages`.

use std::future::{Future, ready};
use std::rc::Rc;

use cactustrack_members::Identity;
use capnp::{Error, MessageSize, Result};

use crate::codec::{
    self, MAX_MESSAGE_BYTES, read_identity, read_report, read_report_reply, read_sync_reply,
    read_sync_request, write_identity, write_report, write_report_reply, write_sync_reply,
    write_sync_request,
};
use crate::messages::{PeerHandler, Report, ReportReply, SyncReply, SyncRequest};
use crate::peer_capnp::peer;

/// Implements the generated server trait with a [`PeerHandler`].
pub(crate) struct HandlerAdapter {
    pub(crate) handler: Rc<dyn PeerHandler>,
}

impl HandlerAdapter {
    fn handle_hello(
        &self,
        params: &peer::HelloParams,
        results: &mut peer::HelloResults,
    ) -> Result<()> {
        let from = read_identity(params.get()?.get_identity()?)?;
        write_identity(&self.handler.hello(from), results.get().init_identity());
        check_size(results.get().into_reader().total_size()?)
    }

    fn handle_report(
        &self,
        params: &peer::ReportParams,
        results: &mut peer::ReportResults,
    ) -> Result<()> {
        let report = read_report(params.get()?.get_report()?)?;
        write_report_reply(&self.handler.report(report), results.get().init_reply());
        check_size(results.get().into_reader().total_size()?)
    }

    fn handle_sync(
        &self,
        params: &peer::SyncParams,
        results: &mut peer::SyncResults,
    ) -> Result<()> {
        let request = read_sync_request(params.get()?.get_request()?)?;
        write_sync_reply(&self.handler.sync(request), results.get().init_reply());
        check_size(results.get().into_reader().total_size()?)
    }
}

impl peer::Server for HandlerAdapter {
    fn hello(
        self: Rc<Self>,
        params: peer::HelloParams,
        mut results: peer::HelloResults,
    ) -> impl Future<Output = Result<()>> + 'static {
        ready(self.handle_hello(&params, &mut results))
    }

    fn report(
        self: Rc<Self>,
        params: peer::ReportParams,
        mut results: peer::ReportResults,
    ) -> impl Future<Output = Result<()>> + 'static {
        ready(self.handle_report(&params, &mut results))
    }

    fn sync(
        self: Rc<Self>,
        params: peer::SyncParams,
        mut results: peer::SyncResults,
    ) -> impl Future<Output = Result<()>> + 'static {
        ready(self.handle_sync(&params, &mut results))
    }
}

pub(crate) async fn call_hello(client: &peer::Client, own: &Identity) -> Result<Identity> {
    let mut call = client.hello_request();
    write_identity(own, call.get().init_identity());
    let response = call.send().promise.await?;
    read_identity(response.get()?.get_identity()?)
}

pub(crate) async fn call_report(client: &peer::Client, report: &Report) -> Result<ReportReply> {
    let mut call = client.report_request();
    write_report(report, call.get().init_report());
    check_size(call.get().into_reader().total_size()?)?;
    let response = call.send().promise.await?;
    read_report_reply(response.get()?.get_reply()?)
}

pub(crate) async fn call_sync(client: &peer::Client, request: &SyncRequest) -> Result<SyncReply> {
    let mut call = client.sync_request();
    write_sync_request(request, call.get().init_request());
    check_size(call.get().into_reader().total_size()?)?;
    let response = call.send().promise.await?;
    read_sync_reply(response.get()?.get_reply()?)
}

/// Returns an error if a message might not fit into a frame, so that only this call fails and the
/// connection stays open.
fn check_size(size: MessageSize) -> Result<()> {
    let bytes = size.word_count.saturating_mul(codec::WORD_BYTES as u64);
    if bytes > MAX_MESSAGE_BYTES as u64 {
        return Err(Error::failed(format!("message of {bytes} bytes exceeds the size limit")));
    }
    Ok(())
}
