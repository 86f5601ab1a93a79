Feature: A message that stops within its head is no message

  # Guards against clients that take the part of a head that came for an answer.
  Scenario Outline: <client> calls a server whose answers <end> at each byte of their heads
    Given a server whose answers stop within their heads
    When <client> calls it, and answers <end> at each byte
    Then each call fails, may have been run, and reached the server once

    Examples:
      | client                            | end   |
      | a reader of the store             | close |
      | a reader of the store             | reset |
      | a writer of the store             | close |
      | a writer of the store             | reset |
      | a follower of the store           | close |
      | a peer                            | close |
      | a peer                            | reset |
      | a client of a platform service    | close |
      | a client of a controller          | close |
      | a router, for a call that repeats | close |
      | a router, for a call that repeats | reset |
      | a router, for a call that doesn't | close |
      | a router, for a call that doesn't | reset |

  # Guards against requests that run though only a part of them has come.
  Scenario Outline: A <request> to a gateway is cut at each byte, and its caller <leaves>
    Given a deployment of one gateway
    When a <request> is cut at each byte, and its caller <leaves>
    Then none of them runs, and no caller gets a 2xx
    And the whole request runs once

    Examples:
      | request                     | leaves              |
      | request without a body      | closes              |
      | request without a body      | resets              |
      | request without a body      | sends no more bytes |
      | request with a length       | closes              |
      | request with a length       | sends no more bytes |
      | request in chunks           | closes              |
      | request in chunks           | resets              |
      | request in chunks           | sends no more bytes |

  Scenario: A message of a peer is cut at each byte
    Given a server for messages of peers
    When a message is cut at each byte, and its sender closes
    Then none of them is handled, and the whole one is
