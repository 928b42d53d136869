//! Tests of walks on small graphs. The tests of the balancing policy cover graphs of a whole fleet.

use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use spanlead_expander_walk::{
    CyclePositions, Expander, Vertex, VertexIndex, Walker, cycle_positions, uniform_below, uniform_unit,
};

struct Server(CyclePositions);

impl Vertex for Server {
    fn cycle_positions(&self) -> &CyclePositions {
        &self.0
    }
}

fn servers(count: usize) -> Vec<Server> {
    (0..count).map(|number| Server(cycle_positions(format!("server-{number}").as_bytes()))).collect()
}

fn all_indices(servers: &[Server]) -> Vec<VertexIndex> {
    (0..servers.len() as u32).map(VertexIndex).collect()
}

fn graph_of(servers: &[Server]) -> Expander {
    let mut graph = Expander::default();
    graph.update(servers, &all_indices(servers), |_| true);
    graph
}

#[test]
fn walk_never_returns_to_the_server_it_came_from() {
    let servers = servers(30);
    let graph = graph_of(&servers);
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut walker = Walker::new(VertexIndex(0));
    for _ in 0..2_000 {
        let next = graph.step(&servers, walker, &mut rng);
        assert_eq!(next.previous, Some(walker.current));
        assert!(Some(next.current) != walker.previous && next.current != walker.current);
        walker = next;
    }
}

#[test]
fn walk_returns_in_a_graph_of_two_servers() {
    let servers = servers(2);
    let graph = graph_of(&servers);
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let first = graph.step(&servers, Walker::new(VertexIndex(0)), &mut rng);
    let second = graph.step(&servers, first, &mut rng);
    assert_eq!((first.current, second.current), (VertexIndex(1), VertexIndex(0)));
}

#[test]
fn update_adds_and_removes_servers_in_one_call() {
    let servers = servers(10);
    let mut graph = graph_of(&servers);
    graph.update(&servers, &[VertexIndex(3), VertexIndex(4)], |server| server.0 == servers[4].0);
    assert_eq!(graph.len(), 9);
    assert!(!graph.contains(&servers, VertexIndex(3)) && graph.contains(&servers, VertexIndex(4)));
}

/// Guards against losing walkers: a walker at a server that has left moves to a former neighbour.
#[test]
fn walker_continues_from_a_server_that_has_left() {
    let servers = servers(10);
    let mut graph = graph_of(&servers);
    let neighbours: Vec<VertexIndex> =
        (0..Expander::DEGREE).map(|edge| graph.neighbour(&servers, VertexIndex(3), edge)).collect();
    graph.update(&servers, &[VertexIndex(3)], |_| false);
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let walker = graph.step(&servers, Walker::new(VertexIndex(3)), &mut rng);
    assert!(neighbours.contains(&walker.current));
}

#[test]
fn lookups_in_the_first_cycle_wrap_around() {
    let servers = servers(5);
    let graph = graph_of(&servers);
    let order: Vec<VertexIndex> = graph.iter_from(3).collect();
    assert_eq!(order.len(), 5);
    assert_eq!(order[0], graph.nth_wrapping(3));
    assert_eq!(order[4], graph.nth_wrapping(2));
    assert_eq!(graph.first_at_or_after(u64::MAX), Some(graph.nth_wrapping(0)));
    assert_eq!(Expander::default().first_at_or_after(0), None);
}

#[test]
fn uniform_numbers_stay_in_their_range() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    for _ in 0..1_000 {
        assert!(uniform_below(&mut rng, 7) < 7);
        assert!((0.0..1.0).contains(&uniform_unit(&mut rng)));
    }
}
