package dev.windbend.daemon;

import dev.windbend.runtime.ServerRequest;
import dev.windbend.runtime.ServerResponse;

/** Is called for each message that a simulated controller sends, when the message is sent. */
interface MessageRecorder {
  /** Records nothing. */
  MessageRecorder NONE =
      new MessageRecorder() {
        @Override
        public void requestSent(
            String controller,
            String address,
            String method,
            String path,
            byte[] body,
            long timeoutMs) {}

        @Override
        public void responseSent(
            String controller, String requester, ServerRequest request, ServerResponse response) {}
      };

  /**
   * A controller has sent a request. The request may still be lost.
   *
   * @param body null if the request has no body
   * @param timeoutMs how long the controller waits for the response
   */
  void requestSent(
      String controller, String address, String method, String path, byte[] body, long timeoutMs);

  /** A controller has sent a response. The response may still be lost. */
  void responseSent(
      String controller, String requester, ServerRequest request, ServerResponse response);
}
