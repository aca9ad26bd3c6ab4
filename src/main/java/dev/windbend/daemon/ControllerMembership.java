package dev.windbend.daemon;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Names and addresses of the deployment's controllers.
 *
 * @param controllerNames names of the controllers in the settings, this controller first
 * @param peerAddresses host and port of each other controller, in the order of the names
 * @param peerAddressByName host and port of each other controller, by its name
 * @param controllerCount number of controllers in the deployment; exceeds the number of names if
 *     the settings do not list every controller
 */
record ControllerMembership(
    List<String> controllerNames,
    List<String> peerAddresses,
    Map<String, String> peerAddressByName,
    int controllerCount) {

  /** Returns the controllers in the settings. */
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
