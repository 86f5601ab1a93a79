Feature: Invalid requests are refused with the field at fault, and nothing runs

  Scenario Outline: <case>
    Given a listener with small limits
    When a caller sends: <case>
    Then the answer is <status> <type> naming <field>, and nothing ran
    And the listener still serves requests

    Examples: Bodies
      | case                       | status | type              | field              |
      | a body that is not JSON    | 400    | bad-request       | body               |
      | a JSON list                | 400    | bad-request       | body               |
      | an empty body              | 400    | bad-request       | body               |
      | a body not in UTF-8        | 400    | bad-request       | body               |
      | JSON nested too deep       | 400    | bad-request       | body               |
      | a lone surrogate           | 400    | bad-request       | body               |
      | an unknown service         | 404    | not-found         | model              |
      | a service not allowed      | 403    | forbidden         | model              |
      | a model that is a number   | 400    | bad-request       | model              |
      | no messages                | 400    | bad-request       | messages           |
      | a role that is an object   | 400    | bad-request       | messages.0.role    |
      | content that is a number   | 400    | bad-request       | messages.1.content |
      | a stream flag as text      | 400    | bad-request       | stream             |
      | too many tokens            | 400    | bad-request       | max_tokens         |
      | a reserved name            | 400    | bad-request       | resume_from        |
      | a declared oversized body  | 413    | body-too-large    | body               |
      | a chunked oversized body   | 413    | body-too-large    | body               |
      | a compressed oversized one | 413    | body-too-large    | body               |
      | a broken compressed body   | 400    | bad-request       | body               |
      | broken chunk framing       | 400    | bad-request       | body               |
      | a slow body                | 408    | body-too-slow     | body               |
      | a multipart body           | 415    | unsupported-media | Content-Type       |
      | the charset utf-16         | 415    | unsupported-media | Content-Type       |

    Examples: Keys and headers
      | case                       | status | type               | field                |
      | no key                     | 401    | unauthenticated    | Authorization        |
      | an unknown key             | 401    | unauthenticated    | Authorization        |
      | a wrong secret             | 401    | unauthenticated    | Authorization        |
      | another scheme             | 401    | unauthenticated    | Authorization        |
      | two keys                   | 400    | bad-request        | Authorization        |
      | a key that is not ASCII    | 400    | bad-request        | Authorization        |
      | two idempotency keys       | 400    | bad-request        | Idempotency-Key      |
      | an empty idempotency key   | 400    | bad-request        | Idempotency-Key      |
      | a long idempotency key     | 400    | bad-request        | Idempotency-Key      |
      | two sessions               | 400    | bad-request        | Stoatpath-Session    |
      | a session with a space     | 400    | bad-request        | Stoatpath-Session    |
      | a timeout that is text     | 400    | bad-request        | Stoatpath-Timeout-Ms |
      | a timeout of zero          | 400    | bad-request        | Stoatpath-Timeout-Ms |
      | a timeout too long         | 400    | bad-request        | Stoatpath-Timeout-Ms |
      | an unknown purpose         | 400    | bad-request        | Stoatpath-Purpose    |
      | an oversized header        | 431    | head-too-large     | headers              |
      | an endless head            | 431    | head-too-large     | headers              |
      | too many headers           | 431    | head-too-large     | headers              |
      | a slow head                | 408    | head-too-slow      | headers              |
      | bytes that are not HTTP    | 400    | bad-request        | headers              |
      | two content lengths        | 400    | bad-request        | headers              |
      | a length and chunks        | 400    | bad-request        | headers              |
      | a header with no colon     | 400    | bad-request        | headers              |

    Examples: Methods and paths
      | case                       | status | type               | field                |
      | a completion by GET        | 405    | method-not-allowed | method               |
      | a call by TRACE            | 405    | method-not-allowed | method               |
      | an unknown path            | 404    | not-found          | path                 |
      | a path that is not ASCII   | 400    | bad-request        | headers              |
      | an unknown plain service   | 404    | not-found          | service              |
      | a model as plain service   | 404    | not-found          | service              |

  Scenario: Connections over the limit are refused and the others served
    Given a listener with small limits
    When more connections are opened than the listener allows
    Then the last one is refused as overloaded and the first is served

  Scenario: Bodies over the total limit are refused and their memory is released
    Given a listener with small limits
    When many callers send large bodies slowly at once
    Then some are refused as overloaded, and no body stays buffered

  Scenario: The listener keeps serving after any bytes
    Given a listener with small limits
    Then it survives any bytes and any change of a valid request

  Scenario: Any JSON is parsed to a request or to a failure that names a field
    Given a listener with small limits
    Then each JSON body yields a request or a failure with a field

  Scenario: Any headers are parsed to a request or to a failure that names a field
    Given a listener with small limits
    Then all headers yield a request or a failure with a field

  Scenario: Body bytes that arrive just after the head don't count as head bytes
    Given a listener with small limits
    When a body over the head size limit arrives between the head and its handler
    Then each of them is answered 200

  Scenario: A body that takes longer than the head timeout is not cut by that timeout
    Given a listener with small limits
    When a body arrives in chunks at various times after its head, beyond the head timeout
    Then each of them is answered 200

  Scenario: A complete request that arrives with its connection is not limited as a head
    Given a listener with small limits
    When a request with a large body arrives as soon as the connection is made
    Then the request is answered 200

  # Guards against callers that wait for an instance which has stopped.
  Scenario: A connection that is accepted as the listener closes is closed too
    Given a listener that has stopped
    When a connection from its backlog is accepted, with a request
    Then the connection is closed without an answer

  # Guards against requests that run though only a part of them has come.
  Scenario Outline: A request with <framing> is cut at each byte, and its caller closes
    Given a listener with small limits
    When a request with <framing> is cut at each byte, and its caller closes
    Then none of them runs, and the whole one does

    Examples:
      | framing  |
      | a length |
      | chunks   |
