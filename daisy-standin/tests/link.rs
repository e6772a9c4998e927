//! Tests the link between a client and a platform stand-in.

use std::{net::SocketAddr, time::Duration};

use daisy_standin::{
    Link, Platform,
    client::{CallError, Client},
    link::{ForwardRule, LinkFaults, Options},
    platform,
};
use http::StatusCode;

const SOON: Duration = Duration::from_secs(5);
const SHORT: Duration = Duration::from_millis(200);

async fn platform_behind(faults: LinkFaults) -> (Platform, Link) {
    let platform = Platform::start(platform::Options::default()).await.unwrap();
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    let forward_rules = vec![ForwardRule { listen: free, to: platform.address() }];
    let options =
        Options { name: "link".to_owned(), control: free, forward_rules, faults, history: None };
    let link = Link::start(options).await.unwrap();
    (platform, link)
}

#[tokio::test]
async fn a_cut_holds_bytes_back_until_it_ends() {
    let (_platform, link) = platform_behind(LinkFaults::default()).await;
    let client = Client::new();
    client.get(link.address(), "/v1/vms", SOON).await.unwrap();
    link.set_faults(LinkFaults { cut: true, ..LinkFaults::default() });

    let during = client.get(link.address(), "/v1/vms", SHORT).await;
    let waiting = client.get(link.address(), "/v1/vms", SOON);
    let heal = async {
        tokio::time::sleep(SHORT).await;
        link.set_faults(LinkFaults::default());
    };
    let (after, ()) = tokio::join!(waiting, heal);

    assert!(matches!(during, Err(CallError::TimedOut(_))), "{during:?}");
    assert_eq!(after.unwrap().status, StatusCode::OK);
}

#[tokio::test]
async fn a_reset_closes_open_connections() {
    let (platform, link) = platform_behind(LinkFaults::default()).await;
    platform.set_faults(daisy_standin::Faults { slow_ms: 1_000, ..Default::default() }).unwrap();
    let client = Client::new();

    let waiting = client.get(link.address(), "/v1/vms", SOON);
    let reset = async {
        tokio::time::sleep(SHORT).await;
        link.set_faults(LinkFaults { reset: true, ..LinkFaults::default() });
    };
    let (broken, ()) = tokio::join!(waiting, reset);

    assert!(matches!(broken, Err(CallError::Broken(_))), "{broken:?}");
}

#[tokio::test]
async fn a_delay_applies_in_each_direction() {
    let (_platform, link) =
        platform_behind(LinkFaults { delay_ms: 50, ..LinkFaults::default() }).await;
    let began = std::time::Instant::now();

    Client::new().get(link.address(), "/v1/vms", SOON).await.unwrap();

    assert!(began.elapsed() >= Duration::from_millis(100));
}

#[tokio::test]
async fn the_error_for_an_unknown_switch_names_it() {
    let (_platform, link) = platform_behind(LinkFaults::default()).await;
    let json = r#"{"down": true}"#;

    let refused = Client::new().post(link.control(), "/standin/faults", json, SOON).await.unwrap();

    assert_eq!(refused.status, StatusCode::BAD_REQUEST);
    assert!(String::from_utf8_lossy(&refused.body).contains("down"));
}
