"""What targets ask for in their answers, for how long each word holds, and what outweighs it."""
