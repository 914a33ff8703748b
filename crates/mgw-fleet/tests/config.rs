//! Route lookup and authentication.

mod common;

use common::{config, route};
use mgw_fleet::config::{Config, Parts, Principal};

/// Guards against a route with a short prefix that receives requests of a route with a longer one.
#[test]
fn routes_by_longest_prefix() {
    let config = config();
    let prefix =
        |path: &str| config.route("Host.Example:80", path).map(|it| it.path_prefix.clone());
    assert_eq!(prefix("/a/b/c").as_deref(), Some("/a/b/"));
    assert_eq!(prefix("/a/bc").as_deref(), Some("/a/"));
    assert_eq!(prefix("/a"), None);
    assert_eq!(prefix("/x/a/"), None);
    assert!(config.route("other.example", "/a/").is_none());
}

/// Guards against requests that are served without a valid key, and requests that are refused with
/// one.
#[test]
fn authenticates_the_team_of_a_key() {
    let config = config();
    let route = config.route("host.example", "/a/").expect("a route");
    assert!(
        matches!(config.authenticate(route, Some("key")), Principal::Team(team) if team.name == "team")
    );
    assert_eq!(config.authenticate(route, Some("other")), Principal::Unauthenticated);
    assert_eq!(config.authenticate(route, None), Principal::Unauthenticated);
}

/// Guards against refusing requests without a key on a route that allows anonymous access.
#[test]
fn anonymous_routes_need_no_key() {
    let mut anonymous = route("host.example", "/o/");
    anonymous.allow_anonymous = true;
    let parts = Parts { routes: vec![anonymous], teams: Some(Vec::new()), ..Parts::default() };
    let config = Config::new(parts);
    let route = config.route("host.example", "/o/").expect("a route");
    assert_eq!(config.authenticate(route, None), Principal::Anonymous);
    assert!(!config.needs_key(route));
}
