Feature: Experiments are reproducible and run the router's own decision code

  Scenario: The same seed gives the same result of a routing trial
    Given a routing trial of coral-coast at load 0.8 with seed 7
    When the trial runs twice
    Then both results are the same

  Scenario: The arrivals do not depend on the chooser
    Given a routing trial of prichard at load 0.5 with seed 3
    When the trial runs with the router's chooser and with random choice
    Then both runs served the same number of requests

  Scenario: Each token takes longer in a larger batch
    Given an engine that runs 1 request of 100 tokens
    When 15 more requests of 100 tokens arrive at the same time
    Then the first request takes 1.9 times as long as alone
