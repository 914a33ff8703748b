//! Routes and keys.

mod common;

use common::{config, route};
use mgw_fleet::config::{Config, Parts, Principal};

/// Guards against a shorter prefix that takes the requests of a longer one.
#[test]
fn the_longest_prefix_wins() {
    let config = config();
    let prefix =
        |path: &str| config.route("Host.Example:80", path).map(|it| it.path_prefix.clone());
    assert_eq!(prefix("/a/b/c").as_deref(), Some("/a/b/"));
    assert_eq!(prefix("/a/bc").as_deref(), Some("/a/"));
    assert_eq!(prefix("/a"), None);
    assert_eq!(prefix("/x/a/"), None);
    assert!(config.route("other.example", "/a/").is_none());
}

/// Guards against requests with an unknown key that are served, and known keys that are refused.
#[test]
fn keys_name_their_team() {
    let config = config();
    let route = config.route("host.example", "/a/").expect("a route");
    assert!(
        matches!(config.authenticate(route, Some("key")), Principal::Team(team) if team.name == "team")
    );
    assert_eq!(config.authenticate(route, Some("other")), Principal::Unauthenticated);
    assert_eq!(config.authenticate(route, None), Principal::Unauthenticated);
}

/// Guards against anonymous routes that demand a key.
#[test]
fn anonymous_routes_need_no_key() {
    let mut open = route("host.example", "/o/");
    open.allow_anonymous = true;
    let parts = Parts { routes: vec![open], teams: Some(Vec::new()), ..Parts::default() };
    let config = Config::new(parts);
    let route = config.route("host.example", "/o/").expect("a route");
    assert_eq!(config.authenticate(route, None), Principal::Anonymous);
    assert!(!config.needs_key(route));
}
