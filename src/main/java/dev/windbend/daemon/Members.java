package dev.windbend.daemon;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The controllers of the deployment, this one first.
 *
 * @param nodes the names of all
 * @param peerAddresses host and port of the others, in their order
 * @param peerAddressByNode the same by name
 * @param count how many there are; more than {@code nodes} if the settings name not all
 */
record Members(
    List<String> nodes,
    List<String> peerAddresses,
    Map<String, String> peerAddressByNode,
    int count) {

  static Members of(Settings settings) {
    List<String> nodes = new ArrayList<>(List.of(settings.node()));
    List<String> addresses = new ArrayList<>();
    Map<String, String> addressByNode = new HashMap<>();
    for (Settings.Peer peer : settings.peers()) {
      nodes.add(peer.node());
      addresses.add(peer.address());
      addressByNode.put(peer.node(), peer.address());
    }
    int count = Math.max(settings.deployment().controllers(), nodes.size());
    return new Members(nodes, addresses, addressByNode, count);
  }
}
