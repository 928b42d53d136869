//! Shared test support: a scripted primary on a loopback address, and the settings of a data plane
//! that is connected to it.
#![allow(dead_code, reason = "each test file uses only a part of this module")]
use async_std::channel::Sender;
use async_std::task;
use spanlead_cluster_runtime::frame::{ClientRequest, ClientResponse, Directory, Frame};
use spanlead_cluster_runtime::freshness::FreshnessToken;
use spanlead_cluster_runtime::peer_server;
use spanlead_cluster_runtime::settings::Settings;
use std::net::TcpListener;
use std::sync::{Arc, Mutex, PoisonError};

/// A response of the scripted primary to a request.
#[derive(Clone, Copy)]
pub enum ScriptedResponse {
    /// A response with this HTTP status.
    Status(u16),
    /// The node is not primary and did not execute the request.
    NotTaken,
    /// The node stopped being primary before the request was committed.
    Abandoned,
    NoResponse,
}

impl ScriptedResponse {
    fn response(self, request_id: u64) -> Option<ClientResponse> {
        match self {
            ScriptedResponse::Status(status) => {
                Some(ClientResponse { request_id, status, body: String::new() })
            }
            ScriptedResponse::NotTaken => Some(ClientResponse::not_executed(request_id)),
            ScriptedResponse::Abandoned => Some(ClientResponse::outcome_unknown(request_id)),
            ScriptedResponse::NoResponse => None,
        }
    }
}

/// Returns the response to a request, given the number of requests received before it.
pub type Script = fn(usize) -> ScriptedResponse;

/// The loopback addresses and the port of a data plane and of its primary.
#[derive(Clone, Copy, Debug)]
pub struct Endpoints {
    pub data_plane_ip: [u8; 4],
    pub primary_ip: [u8; 4],
    /// The port between processes, the same at both addresses.
    pub peer_port: u16,
    pub client_port: u16,
}

fn ip_text(ip: [u8; 4]) -> String {
    std::net::Ipv4Addr::from(ip).to_string()
}

impl Endpoints {
    /// Addresses that end with this octet, with free ports.
    pub fn new(octet: u8) -> Self {
        let data_plane_ip = [127, 0, 9, octet];
        Endpoints {
            data_plane_ip,
            primary_ip: [127, 0, 8, octet],
            peer_port: free_port(data_plane_ip),
            client_port: free_port(data_plane_ip),
        }
    }

    pub fn client_address(&self) -> String {
        format!("{}:{}", ip_text(self.data_plane_ip), self.client_port)
    }

    pub fn primary_address(&self) -> String {
        format!("{}:{}", ip_text(self.primary_ip), self.peer_port)
    }

    /// The text of the data plane's settings.
    pub fn settings_text(&self) -> String {
        let (ip, seed) = (ip_text(self.data_plane_ip), ip_text(self.primary_ip));
        let (front, port) = (self.client_address(), self.peer_port);
        format!(
            r#"{{"node":"edge-1","ip":"{ip}","listenAddrs":{{"front":"{front}"}},"portRange":[{port},{port}],"seeds":["{seed}:9"]}}"#
        )
    }

    pub fn settings(&self) -> Settings {
        let file = tempfile::NamedTempFile::new().expect("a temporary file");
        std::fs::write(file.path(), self.settings_text()).expect("the settings are written");
        Settings::read(&file.path().to_string_lossy()).expect("valid settings")
    }
}

fn free_port(ip: [u8; 4]) -> u16 {
    let listener = TcpListener::bind((std::net::Ipv4Addr::from(ip), 0)).expect("a free port");
    listener.local_addr().expect("a bound address").port()
}

/// A request that the primary received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub request: ClientRequest,
    /// The token that came with it.
    pub token: Option<FreshnessToken>,
}

/// What a scripted primary received and issues. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Primary {
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
    /// The token that it issues to a data plane that connects; `None` for a node of the version
    /// that issues none.
    token: Arc<Mutex<Option<FreshnessToken>>>,
}

impl Primary {
    /// A primary that issues this token.
    pub fn with_token(token: FreshnessToken) -> Self {
        Primary { token: Arc::new(Mutex::new(Some(token))), ..Primary::default() }
    }

    /// Serves at an address.
    pub fn serve(&self, address: String, script: Script) {
        let (primary, own_address) = (self.clone(), address.clone());
        let handler = move |frame: Frame, replies: &Sender<Frame>| match frame {
            Frame::Hello { .. } => primary.greet(&own_address, replies),
            Frame::ClientRequest(request) => primary.respond(request, None, script, replies),
            Frame::FreshClientRequest { token, request } => {
                primary.respond(request, Some(token), script, replies);
            }
            _ => {}
        };
        task::spawn(peer_server::serve(address, Arc::new(handler)));
    }

    fn greet(&self, own_address: &str, replies: &Sender<Frame>) {
        if let Some(token) = *self.token.lock().unwrap_or_else(PoisonError::into_inner) {
            let _ = replies.try_send(Frame::ClientResponse(ClientResponse::with_token(token)));
        }
        let directory =
            Directory { epoch: 1, primary: own_address.to_owned(), members: vec![own_address.to_owned()] };
        let _ = replies.try_send(Frame::Directory(directory));
    }

    fn respond(
        &self,
        request: ClientRequest,
        token: Option<FreshnessToken>,
        script: Script,
        replies: &Sender<Frame>,
    ) {
        let request_id = request.request_id;
        let before = {
            let mut received = self.received.lock().unwrap_or_else(PoisonError::into_inner);
            received.push(ReceivedRequest { request, token });
            received.len() - 1
        };
        if let Some(response) = script(before).response(request_id) {
            let _ = replies.try_send(Frame::ClientResponse(response));
        }
    }

    /// All requests that it has received.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.received.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The number of requests that it has received.
    pub fn request_count(&self) -> usize {
        self.received().len()
    }
}
