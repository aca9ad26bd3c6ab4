package dev.windbend.daemon;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The controllers of the deployment, this one first.
 *
 * @param controllerNames the names of all
 * @param peerAddresses host and port of the others, in their order
 * @param peerAddressByName the same by name
 * @param controllerCount how many there are; more than {@code nodes} if the settings name not all
 */
record ControllerMembership(
    List<String> controllerNames,
    List<String> peerAddresses,
    Map<String, String> peerAddressByName,
    int controllerCount) {

  static ControllerMembership of(Settings settings) {
    List<String> controllerNames = new ArrayList<>(List.of(settings.controllerName()));
    List<String> peerAddresses = new ArrayList<>();
    Map<String, String> peerAddressByName = new HashMap<>();
    for (Settings.Peer peer : settings.peers()) {
      controllerNames.add(peer.controllerName());
      peerAddresses.add(peer.address());
      peerAddressByName.put(peer.controllerName(), peer.address());
    }
    int controllerCount = Math.max(settings.deployment().controllers(), controllerNames.size());
    return new ControllerMembership(
        controllerNames, peerAddresses, peerAddressByName, controllerCount);
  }
}
