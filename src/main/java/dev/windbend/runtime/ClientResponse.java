package dev.windbend.runtime;

/**
 * The response to a request that this process sent.
 *
 * @param status the HTTP status; 0: no response came, so the request may or may not have been
 *     executed, or may yet be
 * @param body the body, empty if there is none
 */
public record ClientResponse(int status, byte[] body) {
  /** No response within the time-out, or no connection. */
  public static final ClientResponse NO_RESPONSE = new ClientResponse(0, new byte[0]);

  /** Whether the status is 200. */
  public boolean ok() {
    return status == HttpStatus.OK;
  }
}
