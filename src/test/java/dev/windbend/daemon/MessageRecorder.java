package dev.windbend.daemon;

import dev.windbend.runtime.ServerRequest;
import dev.windbend.runtime.ServerResponse;

/** Sees all that the simulated controllers send, at the moment at which they send it. */
interface MessageRecorder {
  /** Sees nothing. */
  MessageRecorder NONE =
      new MessageRecorder() {
        @Override
        public void requestSent(
            String node, String address, String method, String path, byte[] body, long limitMs) {}

        @Override
        public void responseSent(
            String node, String asker, ServerRequest request, ServerResponse answer) {}
      };

  /**
   * A controller sends a request, whether it arrives or not.
   *
   * @param body null: none
   * @param timeoutMs how long the controller waits for the answer
   */
  void requestSent(
      String controller, String address, String method, String path, byte[] body, long timeoutMs);

  /** A controller answers a request, whether the answer arrives or not. */
  void responseSent(
      String controller, String requester, ServerRequest request, ServerResponse response);
}
